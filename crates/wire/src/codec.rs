//! Encoding of the messages between entries and agents: MessagePack with field names,
//! and a length prefix before each frame.
//!
//! Field names let processes of two releases understand each other during an upgrade;
//! see `docs/decisions/wire.md`.

use bytes::Bytes;
use bytes::BytesMut;
use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::Attempt;
use crate::Cancel;
use crate::Frame;
use crate::Notes;

/// Content type of an attempt and of an answer in frames.
pub const CONTENT_TYPE: &str = "application/vnd.lycheeknot.frames";

/// Highest size of an encoded frame in bytes.
const FRAME_MAX_BYTES: usize = 8 * 1024 * 1024;

/// An error while decoding bytes from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the peer sent bytes that are no message of this system: check that both run the same release
    Malformed,
    /// the peer sent a frame above the size limit: check that it is a process of this system
    Oversized,
}

impl std::error::Error for Error {}

/// Encodes an attempt as an HTTP body.
pub fn encode_attempt(attempt: &Attempt) -> Vec<u8> {
    encode(attempt)
}

/// Decodes an attempt.
///
/// # Errors
///
/// [`Error::Malformed`] if the bytes are no attempt.
pub fn decode_attempt(bytes: &[u8]) -> Result<Attempt, Error> {
    decode(bytes)
}

/// Encodes notes as an HTTP body.
pub fn encode_notes(notes: &Notes) -> Vec<u8> {
    encode(notes)
}

/// Decodes notes.
///
/// # Errors
///
/// [`Error::Malformed`] if the bytes are no notes.
pub fn decode_notes(bytes: &[u8]) -> Result<Notes, Error> {
    decode(bytes)
}

/// Encodes a cancel as an HTTP body.
pub fn encode_cancel(cancel: &Cancel) -> Vec<u8> {
    encode(cancel)
}

/// Decodes a cancel.
///
/// # Errors
///
/// [`Error::Malformed`] if the bytes are no cancel.
pub fn decode_cancel(bytes: &[u8]) -> Result<Cancel, Error> {
    decode(bytes)
}

/// Encodes a frame with its length prefix; a frame above the size limit gives no bytes.
pub fn encode_frame(frame: &Frame) -> Bytes {
    let body = encode(frame);
    let mut out = BytesMut::with_capacity(body.len() + 4);
    // A frame above the limit is left out, so the reader sees an answer that is cut
    // and reports that.
    let _ = codec().encode(Bytes::from(body), &mut out);
    out.freeze()
}

/// Decodes frames from a stream of bytes.
#[derive(Debug)]
pub struct Reader {
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl Default for Reader {
    fn default() -> Reader {
        Reader { codec: codec(), buffer: BytesMut::new() }
    }
}

impl Reader {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`Error::Oversized`] or [`Error::Malformed`]; the stream can't be read further
    /// after an error.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Error> {
        let Some(body) = self.codec.decode(&mut self.buffer).map_err(|_| Error::Oversized)? else {
            return Ok(None);
        };
        decode(&body).map(Some)
    }
}

fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(|_| Error::Malformed)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec()
}
