//! What a process answers for replicas.

use serde::Deserialize;
use serde::Serialize;

/// What a process that takes replicas of streams answers for them, while the caller can't store them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pledge {
    /// Whether the store has the streams.
    pub is_stored: bool,
    /// Whether the store has the journal of the called process, and it names their versions. So it is known
    /// that they may be of these also once that process has ended.
    pub is_named: bool,
}
