//! Where a new stream is recorded.

/// Where a new stream is recorded, which decides whether its first event may be sent.
///
/// What journals say of streams without rows has to hold also once all processes are gone that know of it,
/// so a stream of a version that none of their journals names needs a row. See
/// `docs/decisions/versions.md`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Custody {
    /// Whether the store has a row with the stream.
    pub is_stored: bool,
    /// Whether another gateway has a replica.
    pub is_replicated: bool,
    /// Whether the store has a journal that names the version, of this process or of one with a replica.
    pub is_named: bool,
    /// Whether this process knows other versions of the service.
    pub is_mixed: bool,
    /// Whether no gateway that was asked can write to the store. All of them remember that outage.
    pub is_outage: bool,
}

impl Custody {
    /// Whether no gateway will ever take the stream for one of another version.
    pub fn is_safe(self) -> bool {
        let is_told = self.is_named || self.is_outage && !self.is_mixed;
        self.is_stored || self.is_replicated && is_told
    }

    /// Whether only a row makes the stream safe.
    pub fn needs_row(self) -> bool {
        self.is_mixed && !self.is_named
    }
}
