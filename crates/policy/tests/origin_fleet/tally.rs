//! What became of streams.

/// Counts of streams that clients took up.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    /// Streams that went on at the version that began them.
    pub(crate) known: u32,
    /// Streams that were refused.
    pub(crate) unknown: u32,
    /// Streams that went on at another version.
    pub(crate) mixed: u32,
}

impl Tally {
    pub(crate) fn add(self, other: Tally) -> Tally {
        Tally {
            known: self.known + other.known,
            unknown: self.unknown + other.unknown,
            mixed: self.mixed + other.mixed,
        }
    }
}
