//! Framing of response bodies.

use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;

/// Framing of a response body (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body is sent in chunks, the last of which is empty.
    Chunks,
    /// The length is known in advance.
    Length,
    /// The body ends with the connection. The end of a sender that crashed looks the same.
    Connection,
}

impl Framing {
    /// Returns the framing of a response with these headers.
    pub(crate) fn of(headers: &HeaderMap) -> Framing {
        if headers.contains_key(TRANSFER_ENCODING) {
            Framing::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) {
            Framing::Length
        } else {
            Framing::Connection
        }
    }

    /// Returns its label in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Framing::Chunks => "chunks",
            Framing::Length => "length",
            Framing::Connection => "connection",
        }
    }
}
