//! The calls of the store that show whether it is away.

/// The calls of the store that show whether it is away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Reads of changes.
    Reads,
    /// Writes of streams. One that takes long counts as failing.
    Writes,
}
