//! The frame writer of one attempt.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::Attempt;
use wire::Frame;
use wire::codec;
use wire::frame::Payload;
use wire::hash;
use wire::id;

use crate::gate::FirstToken;

/// Frames buffered for a slow reader; while the buffer is full, the engine's
/// answer is not read.
const MAX_BUFFERED_FRAMES: usize = 32;

/// Encodes the frames of one attempt and sends them to its reader. Each frame
/// carries the request, attempt, owner and a sequence number.
pub struct Writer {
    request: id::Request,
    attempt: id::Attempt,
    owner: u64,
    sequence: u64,
    stall_timeout: Duration,
    has_stalled: bool,
    /// Records when the answer's first chunk is written.
    first_token: Option<FirstToken>,
    out: mpsc::Sender<Bytes>,
}

/// The error of a write whose reader closed the connection or stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

impl Writer {
    /// Returns a writer for an attempt and the receiver of its encoded frames.
    /// A reader that takes no frame for `stall_timeout` is treated as closed, so
    /// that it doesn't occupy an engine slot.
    pub fn new(attempt: &Attempt, stall_timeout: Duration) -> (Writer, mpsc::Receiver<Bytes>) {
        let (out, frames) = mpsc::channel(MAX_BUFFERED_FRAMES);
        let writer = Writer {
            request: attempt.request,
            attempt: attempt.attempt,
            owner: hash::owner(&attempt.account),
            sequence: 0,
            stall_timeout,
            has_stalled: false,
            first_token: None,
            out,
        };
        (writer, frames)
    }

    /// Sets the recorder that tells the gate when the answer's first chunk is written.
    pub(crate) fn on_first_token(&mut self, first_token: FirstToken) {
        self.first_token = Some(first_token);
    }

    /// Writes the next frame, and waits for buffer space if the reader is slow.
    ///
    /// # Errors
    ///
    /// [`Closed`] if the reader closed the connection or stalled, now or earlier.
    pub async fn write(&mut self, payload: Payload) -> Result<(), Closed> {
        if self.has_stalled {
            return Err(Closed);
        }
        if matches!(payload, Payload::Data(_))
            && let Some(first_token) = self.first_token.take()
        {
            first_token.record();
        }
        let frame = Frame {
            request: self.request,
            attempt: self.attempt,
            owner: self.owner,
            sequence: self.sequence,
            payload,
        };
        self.sequence += 1;
        match timeout(self.stall_timeout, self.out.send(codec::encode_frame(&frame))).await {
            Ok(sent) => sent.map_err(|_| Closed),
            Err(_) => {
                self.has_stalled = true;
                Err(Closed)
            }
        }
    }

    /// Returns whether the reader closed the connection or stalled.
    pub fn is_closed(&self) -> bool {
        self.has_stalled || self.out.is_closed()
    }

    /// Waits until the reader closes the connection.
    pub async fn closed(&self) {
        self.out.closed().await;
    }
}
