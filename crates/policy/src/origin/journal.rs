//! What one process of a gateway has stored.

use crate::origin::Segment;
use crate::origin::StreamId;

/// The segments of one process, as they were read from the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Journal {
    /// Whether it has all that the process has stored. It may lack some of it if it was written
    /// before the store came back from a copy, or if a segment is malformed.
    pub is_complete: bool,
    /// The segments, in any order.
    pub segments: Vec<Segment>,
}

impl Journal {
    /// Returns the version at which the process began a stream of a service; `None` if it has
    /// stored no such stream.
    pub(crate) fn find(&self, service: &str, stream: StreamId) -> Option<&str> {
        let rows = self.segments.iter().flat_map(|segment| &segment.rows);
        let mut rows = rows.filter(|row| row.service == service);
        rows.find(|row| row.streams.contains(&stream)).map(|row| row.version.as_str())
    }

    /// Returns the version of a service if the process knew no other one. It stored none of its
    /// streams then.
    pub(crate) fn single_version(&self, service: &str) -> Option<&str> {
        match self.versions(service)[..] {
            [version] => Some(version),
            _ => None,
        }
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
