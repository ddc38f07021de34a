//! The answer to one attempt, whose frames are checked for order and owner.

use std::time::Duration;

use futures_util::StreamExt;
use policy::sequence::Sequence;
use tokio::time::timeout;
use wire::frame::Head;
use wire::frame::Payload;

use crate::canceller::Canceller;
use crate::observer::Observer;
use crate::transport::Fault;
use crate::transport::Frames;

/// An answer that is being read.
pub(crate) struct Answer {
    frames: Frames,
    sequence: Sequence,
    observer: Observer,
    canceller: Canceller,
    head: Option<Head>,
}

impl Answer {
    /// Creates an answer whose frames have to follow `sequence`.
    pub(crate) fn new(
        frames: Frames,
        sequence: Sequence,
        observer: Observer,
        canceller: Canceller,
    ) -> Answer {
        Answer { frames, sequence, observer, canceller, head: None }
    }

    /// Reads up to the head, which [`Answer::take_head`] then returns. The first frame
    /// has to come within `accept_within` and the head within `head_within` of it.
    /// Returns the payload that came in place of the head, if any.
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

    /// Takes the head that [`Answer::read_head`] read.
    pub(crate) fn take_head(&mut self) -> Option<Head> {
        self.head.take()
    }

    /// Returns the number of the last chunk that came, in earlier attempts too.
    pub(crate) fn last_chunk(&self) -> Option<u64> {
        self.sequence.last_piece()
    }

    /// Stops reading the answer, which may run on at its agent. Dropping the returned
    /// guard ends it there.
    pub(crate) fn into_canceller(self) -> Canceller {
        self.canceller
    }

    /// Returns the next payload, which has to come within a time.
    ///
    /// # Errors
    ///
    /// The answer can't be read further after an error. One that ends without its last
    /// frame is an error, too.
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
        let next = timeout(within, self.frames.next()).await.map_err(|_| Fault::TimedOut)?;
        let Some(frame) = next else {
            return Err(Fault::Disconnected("ended before its last frame".to_owned()));
        };
        let frame = frame?;
        self.sequence.check(&frame).map_err(|error| Fault::Invalid(error.to_string()))?;
        Ok(frame.payload)
    }
}
