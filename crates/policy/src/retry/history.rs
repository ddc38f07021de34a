//! What the attempts of one request came to.

use std::time::Duration;

use wire::Refusal;
use wire::refusal::Ran;
use wire::refusal::Reason;

use crate::retry::Budget;

/// Whether to go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Another engine may be tried; a retry was taken from the budget.
    Retry,
    /// The request is answered now.
    Stop,
}

/// The attempts of one request that failed.
#[derive(Debug, Clone)]
pub struct History {
    idempotent: bool,
    made: u32,
    redirected: bool,
    last: Option<Refusal>,
}

impl History {
    /// No attempt yet.
    pub fn new(idempotent: bool) -> History {
        History { idempotent, made: 0, redirected: false, last: None }
    }

    /// Attempts that failed.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Takes in a failure and decides whether another engine may be tried.
    ///
    /// `attempts` is the most that one request may make and `left` the time
    /// until its deadline. The budget is asked last, so that a request which
    /// can't go on spends nothing. Following one hint to where a chat moved
    /// is no retry: no engine was asked for the work yet.
    pub fn failed(
        &mut self,
        refusal: Refusal,
        attempts: u32,
        left: Duration,
        budget: &mut Budget,
    ) -> Verdict {
        self.made += 1;
        let safe = refusal.ran == Ran::No || self.idempotent;
        let useful = refusal.reason.can_succeed_elsewhere();
        let is_redirect = refusal.reason == Reason::Moved && !self.redirected;
        self.redirected |= is_redirect;
        self.keep(refusal);
        if !safe || !useful || self.made >= attempts || left.is_zero() {
            return Verdict::Stop;
        }
        if !is_redirect && !budget.spend() {
            self.spent();
            return Verdict::Stop;
        }
        Verdict::Retry
    }

    /// The final refusal, or `None` if no attempt was made.
    pub fn refusal(&self) -> Option<&Refusal> {
        self.last.as_ref()
    }

    /// The latest refusal stands for all, but what may have run stays unknown
    /// and the earliest useful time to come back is kept.
    fn keep(&mut self, mut refusal: Refusal) {
        if let Some(before) = &self.last {
            if before.ran == Ran::Unknown {
                refusal.ran = Ran::Unknown;
            }
            refusal.retry_after = earliest(before.retry_after, refusal.retry_after);
        }
        self.last = Some(refusal);
    }

    /// A broken engine is no longer the reason if the budget alone kept the
    /// request from another one; a refusal for load stays the reason.
    fn spent(&mut self) {
        if let Some(last) = &mut self.last
            && last.reason == Reason::Engine
        {
            last.reason = Reason::Retries;
        }
    }
}

/// A time of zero says nothing of when to come back.
fn earliest(left: Duration, right: Duration) -> Duration {
    match (left.is_zero(), right.is_zero()) {
        (true, _) => right,
        (_, true) => left,
        _ => left.min(right),
    }
}
