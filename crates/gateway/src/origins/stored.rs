//! The journals of all processes in the store.

use policy::origin::Journal;
use policy::origin::Segment;

use crate::origins::InUse;

/// The journals of all processes, as they were read from the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Stored {
    /// Number of restores of the store when it was read.
    pub(crate) restores: u64,
    /// A journal for each process.
    pub(crate) journals: Vec<Journal>,
    /// Streams that were looked up at other gateways with the read. Processes are excluded for these only.
    pub(crate) asked: Segment,
    /// The versions in use.
    pub(crate) in_use: InUse,
}

impl Stored {
    /// Whether journals were lost of processes that ended lately: there is none of the process that was the
    /// last to write the versions in use.
    pub(crate) fn has_lost_journals(&self) -> bool {
        let writer = &self.in_use.writer;
        !writer.is_empty() && self.journals.iter().all(|journal| journal.process != *writer)
    }
}
