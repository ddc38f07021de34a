//! Splits a stream of server-sent events at event boundaries.

use bytes::Bytes;
use bytes::BytesMut;
use displaydoc::Display;
use memchr::memrchr2;

/// Start of the line with an event's id.
const ID_PREFIX: &[u8] = b"id:";

/// Length of the longest end of an event: a line end with an empty line after it. `\r\n\r\n` ends
/// with one.
const EVENT_END_MAX_BYTES: usize = 3;

/// Longest event that is buffered. Events of endpoints take some hundred bytes; hundreds of broken
/// streams must not fill the memory of a small VM.
const EVENT_MAX_BYTES: usize = 32 * 1024;

/// Reason why a stream can't be relayed to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Error {
    /// an event of the stream did not end within the limit
    Oversized,
    /// the stream ended inside an event
    Unfinished,
}

impl std::error::Error for Error {}

/// Buffers the bytes of a stream and releases whole events, unchanged.
///
/// An endpoint may break off in the middle of an event. The incomplete event must not reach
/// the client, since the events of a resumed stream would follow it.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    /// Bytes after the last whole event.
    rest: BytesMut,
    /// Id of the last whole event that had one.
    last: Option<u64>,
}

impl Splitter {
    /// Adds received bytes, and returns the events that are whole now; empty if there are none.
    ///
    /// # Errors
    ///
    /// [`Error::Oversized`] if an event has not ended within the limit.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        let end = self.end_of_events(bytes);
        // Checked first, since a buffer that grows past the limit doubles its memory.
        if end == 0 && self.rest.len() + bytes.len() > EVENT_MAX_BYTES {
            return Err(Error::Oversized);
        }
        self.rest.extend_from_slice(bytes);
        let events = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last = Some(id);
        }
        Ok(events)
    }

    /// Returns the index after the last whole event, with these bytes after the rest; 0 if there
    /// is none.
    fn end_of_events(&self, bytes: &[u8]) -> usize {
        let len = self.rest.len();
        let end = end_of_events(bytes);
        if end > 0 {
            return len + end;
        }
        // The end of an event may have begun in the rest.
        let tail = &self.rest[len.saturating_sub(EVENT_END_MAX_BYTES - 1)..];
        let head = &bytes[..bytes.len().min(EVENT_END_MAX_BYTES - 1)];
        match end_of_events(&[tail, head].concat()) {
            0 => 0,
            end => len - tail.len() + end,
        }
    }

    /// Returns the id of the last whole event that had one.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of bytes after the last whole event.
    pub(crate) fn rest_len(&self) -> usize {
        self.rest.len()
    }

    /// Ends the stream, and returns the bytes after the last whole event: blank lines and comments.
    ///
    /// # Errors
    ///
    /// [`Error::Unfinished`] if the stream ended inside an event. It has broken off then,
    /// however its end was marked.
    pub(crate) fn finish(&mut self) -> Result<Bytes, Error> {
        if is_inside_event(&self.rest) {
            return Err(Error::Unfinished);
        }
        Ok(self.rest.split().freeze())
    }

    /// Drops the bytes after the last whole event, and frees their memory.
    pub(crate) fn drop_rest(&mut self) {
        self.rest = BytesMut::new();
    }
}

/// Returns the index after the last whole event in these bytes; 0 if there is none.
fn end_of_events(bytes: &[u8]) -> usize {
    let mut end = bytes.len();
    while let Some(last) = memrchr2(b'\n', b'\r', &bytes[..end]) {
        end = last + 1;
        if ends_event(&bytes[..end]) {
            return end;
        }
        end = last;
    }
    0
}

/// Whether the bytes end with an empty line. Lines may end in each of the three ways that the
/// format allows.
fn ends_event(bytes: &[u8]) -> bool {
    [&b"\n\n"[..], b"\n\r\n", b"\r\r"].iter().any(|end| bytes.ends_with(end))
}

/// Whether the bytes after a whole event begin another one. Only whole lines that are blank or a
/// comment don't.
fn is_inside_event(rest: &[u8]) -> bool {
    let ends_line = rest.last().is_none_or(|byte| is_line_end(*byte));
    let mut lines = rest.split(|byte| is_line_end(*byte));
    !ends_line || lines.any(|line| line.first().is_some_and(|byte| *byte != b':'))
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Returns the last id among the events, if there is one that is a number.
fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|byte| is_line_end(*byte)).rev();
    let line = lines.find(|line| line.starts_with(ID_PREFIX))?;
    std::str::from_utf8(&line[ID_PREFIX.len()..]).ok()?.trim().parse().ok()
}
