//! Resumption of an answer that was cut.

use serde::Deserialize;
use serde::Serialize;

/// The position at which to resume an answer that an engine still keeps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The engine's handle of the answer; see [`crate::frame::Head::handle`].
    pub handle: String,
    /// Number of the last chunk received, counted from 0; `None` if there was none.
    pub after: Option<u64>,
}
