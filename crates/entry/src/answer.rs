//! The answer to one attempt, checked frame by frame.

use std::time::Duration;

use futures_util::StreamExt;
use policy::sequence::Sequence;
use tokio::time::timeout;
use wire::frame::Head;
use wire::frame::Payload;

use crate::agents::Fault;
use crate::agents::Frames;
use crate::canceller::Canceller;
use crate::observer::Observer;

/// An answer that is being read.
pub(crate) struct Answer {
    frames: Frames,
    sequence: Sequence,
    observer: Observer,
    canceller: Canceller,
    head: Option<Head>,
}

impl Answer {
    /// Reads an answer whose frames have to follow a sequence.
    pub(crate) fn new(
        frames: Frames,
        sequence: Sequence,
        observer: Observer,
        canceller: Canceller,
    ) -> Answer {
        Answer { frames, sequence, observer, canceller, head: None }
    }

    /// Reads up to the head, each part within its time; gives what came in its place.
    ///
    /// # Errors
    ///
    /// See [`Answer::next`].
    pub(crate) async fn read_head(
        &mut self,
        accept_within: Duration,
        head_within: Duration,
    ) -> Result<Option<Payload>, Fault> {
        let mut next = self.next(accept_within).await?;
        if matches!(next, Payload::Accepted(_)) {
            next = self.next(head_within).await?;
        }
        match next {
            Payload::Head(head) => {
                self.head = Some(head);
                Ok(None)
            }
            other => Ok(Some(other)),
        }
    }

    /// The head that [`Answer::begin`] read.
    pub(crate) fn take_head(&mut self) -> Option<Head> {
        self.head.take()
    }

    /// The number of the last piece that came, in earlier attempts too.
    pub(crate) fn last_chunk(&self) -> Option<u64> {
        self.sequence.last_piece()
    }

    /// Stops to read the answer, which may run on while a caller waits.
    pub(crate) fn into_canceller(self) -> Canceller {
        self.canceller
    }

    /// The next piece, which has to come within a time.
    ///
    /// # Errors
    ///
    /// The answer can't be read further after an error; one that stops
    /// without its last frame is an error too.
    pub(crate) async fn next(&mut self, within: Duration) -> Result<Payload, Fault> {
        let next = self.read(within).await;
        match &next {
            Ok(payload) => {
                self.observer.observe(payload);
                if self.sequence.is_ended() {
                    self.canceller.disarm();
                }
            }
            Err(_) => self.observer.record_loss(),
        }
        next
    }

    async fn read(&mut self, within: Duration) -> Result<Payload, Fault> {
        let next = timeout(within, self.frames.next()).await.map_err(|_| Fault::Silent)?;
        let Some(frame) = next else {
            return Err(Fault::Cut("ended before its last frame".to_owned()));
        };
        let frame = frame?;
        self.sequence.check(&frame).map_err(|error| Fault::Foreign(error.to_string()))?;
        Ok(frame.payload)
    }
}
