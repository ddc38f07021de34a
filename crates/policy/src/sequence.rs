//! Validation that the frames of an answer belong to it, are complete and in order.

use displaydoc::Display;
use wire::Frame;
use wire::frame::Payload;
use wire::id;

/// Validates the frames of one attempt, which have to arrive in order and without gaps.
#[derive(Debug, Clone)]
pub struct Sequence {
    request: id::Request,
    attempt: id::Attempt,
    /// Hash of the client account that sent the request.
    owner: u64,
    /// Sequence number of the next frame.
    next: u64,
    stage: Stage,
    /// Number of data frames (chunks of the answer) so far, earlier attempts included.
    chunks: u64,
}

/// Progress of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Sent,
    Accepted,
    Answering,
    Ended,
}

/// The reason to reject a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Error {
    /// the frame answers another request or attempt: drop the connection it came by
    Attempt,
    /// the frame belongs to another client account: drop the connection it came by
    Owner,
    /// a frame is missing or came twice: take the answer as cut
    Gap,
    /// the frame can't follow the one before it: check that both processes run the same release
    Order,
}

impl std::error::Error for Error {}

impl Sequence {
    /// Returns the state before the first frame of an attempt; `owner` is the hash of the
    /// client account that sent the request.
    pub fn new(request: id::Request, attempt: id::Attempt, owner: u64) -> Sequence {
        Sequence::after(request, attempt, owner, None)
    }

    /// Returns the state before the first frame of an attempt that resumes an answer after
    /// the chunk numbered `after`, the last one received in an earlier attempt; chunks
    /// are numbered from 0.
    pub fn after(
        request: id::Request,
        attempt: id::Attempt,
        owner: u64,
        after: Option<u64>,
    ) -> Sequence {
        let chunks = after.map_or(0, |after| after.saturating_add(1));
        Sequence { request, attempt, owner, next: 0, stage: Stage::Sent, chunks }
    }

    /// Validates the next frame and advances to the one after it.
    ///
    /// # Errors
    ///
    /// Returns why the frame is rejected; the rest of the answer can't be used then.
    pub fn check(&mut self, frame: &Frame) -> Result<(), Error> {
        if frame.request != self.request || frame.attempt != self.attempt {
            return Err(Error::Attempt);
        }
        if frame.owner != self.owner {
            return Err(Error::Owner);
        }
        if frame.sequence != self.next {
            return Err(Error::Gap);
        }
        self.stage = self.stage_after(&frame.payload).ok_or(Error::Order)?;
        self.next += 1;
        self.chunks += u64::from(matches!(frame.payload, Payload::Data(_)));
        Ok(())
    }

    /// Returns the number of the last chunk received, in this or an earlier attempt.
    pub fn last_piece(&self) -> Option<u64> {
        self.chunks.checked_sub(1)
    }

    /// Returns whether the last frame of the answer was received.
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Returns the stage after a frame, or `None` if the frame can't come at this stage.
    fn stage_after(&self, payload: &Payload) -> Option<Stage> {
        match (self.stage, payload) {
            (Stage::Ended, _) => None,
            (_, Payload::Refused(..)) => Some(Stage::Ended),
            (Stage::Sent, Payload::Accepted(_)) => Some(Stage::Accepted),
            (Stage::Accepted, Payload::Head(_)) => Some(Stage::Answering),
            (Stage::Answering, Payload::Data(_)) => Some(Stage::Answering),
            (Stage::Answering, Payload::End(_)) => Some(Stage::Ended),
            _ => None,
        }
    }
}
