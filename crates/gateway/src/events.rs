//! The borders between events of a stream.

use bytes::Bytes;
use bytes::BytesMut;

/// Begins the line with an event's id.
const ID: &[u8] = b"id:";

/// Passes on whole events, byte for byte.
///
/// An endpoint that breaks off may do so within an event; what it sent of that
/// one must not be followed by another.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    rest: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// Takes in bytes and gives the events that they complete; empty if there are none.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let end = end_of_events(&self.rest);
        let events = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last = Some(id);
        }
        events
    }

    /// The id of the last whole event.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// What follows the last whole event; it is left out of what comes next.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

fn end_of_events(bytes: &[u8]) -> usize {
    let ends = |pattern: &[u8]| {
        let found = bytes.windows(pattern.len()).rposition(|window| window == pattern);
        found.map_or(0, |at| at + pattern.len())
    };
    ends(b"\n\n").max(ends(b"\r\n\r\n"))
}

fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let line = lines.find(|line| line.starts_with(ID))?;
    std::str::from_utf8(&line[ID.len()..]).ok()?.trim().parse().ok()
}
