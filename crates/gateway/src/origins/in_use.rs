//! The versions that are in use, for processes that start after all others have ended.

use policy::origin::ProcessId;
use policy::origin::Segment;
use serde::Deserialize;
use serde::Serialize;

/// The versions that are in use, as the process knew them that was the last to start or to hear of one. It has
/// no lease, so it outlives an outage in which all journals end. See `docs/decisions/versions.md`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct InUse {
    /// The process that wrote it. While the store keeps journals, it has that of this process for longer than
    /// clients take to come back.
    pub(crate) writer: ProcessId,
    /// The versions, without streams.
    pub(crate) versions: Segment,
}
