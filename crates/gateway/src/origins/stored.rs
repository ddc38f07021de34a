//! The journals of all processes in the store.

use policy::origin;
use policy::origin::Journal;
use policy::origin::Segment;
use policy::origin::StreamId;

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
    /// Returns those of the streams that were looked up for which no row is known, and nothing else, of
    /// services of which the journals know several versions. Only for these it counts who may have begun
    /// them.
    pub(crate) fn unresolved(
        &self,
        asked: &Segment,
        is_known: impl Fn(&str, StreamId) -> bool,
    ) -> Segment {
        let mut unresolved = Segment::default();
        for row in &asked.rows {
            let service = row.service.as_str();
            let versions = self.journals.iter().flat_map(|journal| journal.versions(service));
            let mut versions: Vec<&str> = versions.collect();
            versions.sort_unstable();
            versions.dedup();
            if versions.len() < 2 {
                continue;
            }
            let is_found = |stream: &&StreamId| {
                is_known(service, **stream)
                    || origin::find(&self.journals, service, **stream).is_some()
            };
            for stream in row.streams.iter().filter(|stream| !is_found(stream)) {
                unresolved.add(service, "", *stream);
            }
        }
        unresolved
    }

    /// Whether journals were lost of processes that ended lately: there is none of the process that was the
    /// last to write the versions in use.
    pub(crate) fn has_lost_journals(&self) -> bool {
        let writer = &self.in_use.writer;
        !writer.is_empty() && self.journals.iter().all(|journal| journal.process != *writer)
    }
}
