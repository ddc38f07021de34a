//! A part of what a gateway stores of streams.

use serde::Deserialize;
use serde::Serialize;

use crate::origin::StreamId;

/// Versions of services, with streams that they began within a span of time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// A row for each version of a service.
    pub rows: Vec<Row>,
}

/// A version of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The name of the service.
    pub service: String,
    /// The version of the software of its endpoints.
    pub version: String,
    /// Streams that began there, in their order; empty if only the version is told.
    pub streams: Vec<StreamId>,
}

impl Segment {
    /// Most streams of a segment that a peer sends.
    pub const MAX_STREAMS: usize = 8_192;

    /// Most rows of a segment that a peer sends.
    const MAX_ROWS: usize = 256;

    /// Whether a segment that a peer sent is within the limits.
    pub fn is_valid(&self) -> bool {
        let streams = self.rows.iter().map(|row| row.streams.len()).sum::<usize>();
        self.rows.len() <= Segment::MAX_ROWS && streams <= Segment::MAX_STREAMS
    }

    /// Returns the versions of a service.
    pub(crate) fn versions(&self, service: &str) -> impl Iterator<Item = &str> {
        let rows = self.rows.iter().filter(move |row| row.service == service);
        rows.map(|row| row.version.as_str())
    }

    /// Whether a stream of a service is in one of the rows.
    pub fn has(&self, service: &str, stream: StreamId) -> bool {
        let mut rows = self.rows.iter().filter(|row| row.service == service);
        rows.any(|row| row.streams.contains(&stream))
    }

    /// Adds a stream that began at a version of a service.
    pub fn add(&mut self, service: &str, version: &str, stream: StreamId) {
        self.row(service, version).streams.push(stream);
    }

    /// Removes a stream of a service from all versions.
    pub(crate) fn remove(&mut self, service: &str, stream: StreamId) {
        for row in self.rows.iter_mut().filter(|row| row.service == service) {
            row.streams.retain(|id| *id != stream);
        }
    }

    /// Returns the row of a version, which is added if it is new.
    pub(crate) fn row(&mut self, service: &str, version: &str) -> &mut Row {
        let key = (service, version);
        let find = |row: &Row| (row.service.as_str(), row.version.as_str()).cmp(&key);
        let index = self.rows.binary_search_by(find).unwrap_or_else(|index| {
            let (service, version) = (service.to_owned(), version.to_owned());
            self.rows.insert(index, Row { service, version, streams: Vec::new() });
            index
        });
        &mut self.rows[index]
    }
}
