//! The journals of all processes in the store.

use policy::origin::Journal;
use policy::origin::Segment;

/// The journals of all processes, as they were read from the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Stored {
    /// Number of restores of the store when it was read.
    pub(crate) restores: u64,
    /// A journal for each process.
    pub(crate) journals: Vec<Journal>,
    /// Streams that were looked up at other gateways with the read. Processes are excluded for these only.
    pub(crate) asked: Segment,
}
