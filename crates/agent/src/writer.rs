//! Writes the frames of one answer.

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

use crate::gate::Token;

/// Frames that wait for a slow reader before the engine's answer is no longer read.
const FRAMES: usize = 32;

/// Binds each frame to its request, attempt and owner and numbers it.
pub struct Writer {
    request: id::Request,
    attempt: id::Attempt,
    owner: u64,
    sequence: u64,
    stall: Duration,
    has_stalled: bool,
    /// Told of the answer's first piece.
    token: Option<Token>,
    out: mpsc::Sender<Bytes>,
}

/// The reader is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gone;

impl Writer {
    /// A writer for an attempt, and the encoded frames as they come. A reader
    /// who takes nothing for the time of `stall` counts as gone, so that it
    /// holds no slot of the engine.
    pub fn new(attempt: &Attempt, stall: Duration) -> (Writer, mpsc::Receiver<Bytes>) {
        let (out, frames) = mpsc::channel(FRAMES);
        let writer = Writer {
            request: attempt.request,
            attempt: attempt.attempt,
            owner: hash::owner(&attempt.account),
            sequence: 0,
            stall,
            has_stalled: false,
            token: None,
            out,
        };
        (writer, frames)
    }

    /// Tells the gate when the answer's first piece comes.
    pub(crate) fn on_token(&mut self, token: Token) {
        self.token = Some(token);
    }

    /// Writes the next frame, waiting for a slow reader.
    ///
    /// # Errors
    ///
    /// [`Gone`] if nobody reads any more.
    pub async fn write(&mut self, payload: Payload) -> Result<(), Gone> {
        if self.has_stalled {
            return Err(Gone);
        }
        if matches!(payload, Payload::Data(_))
            && let Some(token) = self.token.take()
        {
            token.came();
        }
        let frame = Frame {
            request: self.request,
            attempt: self.attempt,
            owner: self.owner,
            sequence: self.sequence,
            payload,
        };
        self.sequence += 1;
        match timeout(self.stall, self.out.send(codec::encode_frame(&frame))).await {
            Ok(sent) => sent.map_err(|_| Gone),
            Err(_) => {
                self.has_stalled = true;
                Err(Gone)
            }
        }
    }

    /// Whether nobody reads any more.
    pub fn is_gone(&self) -> bool {
        self.has_stalled || self.out.is_closed()
    }

    /// Waits until nobody reads any more.
    pub async fn gone(&self) {
        self.out.closed().await;
    }
}
