//! What the store has of one process.

use policy::origin::Journal;
use policy::origin::Segment;

/// What the store has of one process.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) process: String,
    /// Number of restores of the store before it was written.
    pub(crate) restores: u64,
    /// Steps until its lease ends.
    pub(crate) steps_left: u32,
    /// The versions, the streams and those of other processes.
    pub(crate) segments: Vec<Segment>,
    pub(crate) orphans: Segment,
}

impl Entry {
    /// Returns it as a gateway reads it, to which these processes have answered.
    pub(crate) fn journal(&self, restores: u64, answered: &[String]) -> Journal {
        Journal {
            process: self.process.clone(),
            is_excluded: answered.contains(&self.process),
            is_complete: self.restores == restores,
            segments: self.segments.clone(),
            orphans: self.orphans.clone(),
        }
    }
}
