//! Reasons to stop an attempt before its answer is complete.

use wire::Refusal;
use wire::refusal::Reason;

use crate::answers::Interrupt;
use crate::failure;
use crate::writer::Closed;

/// Why an attempt stopped before its answer was complete.
pub(crate) enum Stop {
    /// The work was refused or failed; the refusal is sent to the entry.
    Refused(Refusal),
    /// The reader closed its connection or stalled, or the attempt was cancelled.
    Closed,
}

impl From<Closed> for Stop {
    fn from(_: Closed) -> Stop {
        Stop::Closed
    }
}

impl From<Refusal> for Stop {
    fn from(refusal: Refusal) -> Stop {
        Stop::Refused(refusal)
    }
}

impl From<Interrupt> for Stop {
    /// The reader of an answer that was taken over gets a refusal, since it would
    /// otherwise resume the answer and take it back.
    fn from(interrupt: Interrupt) -> Stop {
        match interrupt {
            Interrupt::Cancelled => Stop::Closed,
            Interrupt::TakenOver => Stop::Refused(failure::unknown(Reason::Moved)),
        }
    }
}
