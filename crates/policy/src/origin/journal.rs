//! What one process of a gateway has stored.

use crate::origin::Segment;
use crate::origin::StreamId;

/// The segments of one process, as they were read from the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Journal {
    /// The process, by a name that no other one has.
    pub process: ProcessId,
    /// Whether the process runs and has answered that it did not begin the streams that are looked up.
    /// Nothing else rules out that it began one: its rows and all replicas of them may be lost.
    pub is_excluded: bool,
    /// Whether it has all that the process has stored. It may lack some of it if it was written
    /// before the store came back from a copy, or if a segment is malformed.
    pub is_complete: bool,
    /// The segments, in any order.
    pub segments: Vec<Segment>,
    /// Versions at which processes that have ended may have begun streams without a journal in the
    /// store, as this process knows it.
    pub orphans: Segment,
}

/// Name of a process: that of its VM, and a number that is drawn at its start.
pub type ProcessId = String;

impl Journal {
    /// Returns the version at which the process began a stream of a service; `None` if it has
    /// stored no such stream.
    pub(crate) fn find(&self, service: &str, stream: StreamId) -> Option<&str> {
        let rows = self.segments.iter().flat_map(|segment| &segment.rows);
        let mut rows = rows.filter(|row| row.service == service);
        rows.find(|row| row.streams.contains(&stream)).map(|row| row.version.as_str())
    }

    /// Returns the versions of a service that the process may have used lately, sorted.
    pub fn versions(&self, service: &str) -> Vec<&str> {
        let segments = self.segments.iter();
        let mut versions: Vec<&str> =
            segments.flat_map(|segment| segment.versions(service)).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}
