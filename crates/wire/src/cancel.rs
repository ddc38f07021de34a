//! The message that cancels an attempt.

use serde::Deserialize;
use serde::Serialize;

use crate::Stamp;
use crate::id;

/// Path at the agent's data address that accepts cancels by `POST`.
pub const PATH: &str = "/cancel";

/// Tells an agent that the caller no longer waits for the answer of an attempt.
///
/// A broken connection doesn't imply that: its entry may have died while the caller
/// waits to resume the answer through another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Stamp of the entry that sends it.
    pub stamp: Stamp,
    /// Id of the caller's request.
    pub request: id::Request,
    /// Number of the attempt to cancel.
    pub attempt: id::Attempt,
}
