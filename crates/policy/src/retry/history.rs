//! The failed attempts of one request, and whether to retry.

use std::time::Duration;

use wire::Refusal;
use wire::refusal::Ran;
use wire::refusal::Reason;

use crate::retry::Budget;

/// Whether a request is tried again after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Another engine may be tried; the retry is spent from the budget unless it
    /// follows a redirect.
    Retry,
    /// The request ends with the refusal.
    Stop,
}

/// The failed attempts of one request.
#[derive(Debug, Clone)]
pub struct History {
    is_idempotent: bool,
    failed_attempts: u32,
    was_redirected: bool,
    /// Merged from the refusals of all attempts.
    refusal: Option<Refusal>,
}

impl History {
    /// Creates a history without attempts; `is_idempotent` tells whether the work may
    /// run twice.
    pub fn new(is_idempotent: bool) -> History {
        History { is_idempotent, failed_attempts: 0, was_redirected: false, refusal: None }
    }

    /// Returns the number of failed attempts.
    pub fn failed_attempts(&self) -> u32 {
        self.failed_attempts
    }

    /// Records a failed attempt and returns whether another engine may be tried.
    ///
    /// `max_attempts` is the limit for one request and `left` the time until its
    /// deadline. The budget is checked last, so that a request which can't be
    /// retried spends nothing. Following one redirect to the engine that holds a
    /// chat's context is no retry: no engine was asked to do the work yet.
    pub fn record_failure(
        &mut self,
        refusal: Refusal,
        max_attempts: u32,
        left: Duration,
        budget: &mut Budget,
    ) -> Verdict {
        self.failed_attempts += 1;
        let is_safe = refusal.ran == Ran::No || self.is_idempotent;
        let is_useful = refusal.reason.can_succeed_elsewhere();
        let is_redirect = refusal.reason == Reason::Moved && !self.was_redirected;
        self.was_redirected |= is_redirect;
        self.merge(refusal);
        if !is_safe || !is_useful || self.failed_attempts >= max_attempts || left.is_zero() {
            return Verdict::Stop;
        }
        if !is_redirect && !budget.spend() {
            self.report_empty_budget();
            return Verdict::Stop;
        }
        Verdict::Retry
    }

    /// Returns the refusal that the request ends with, or `None` before any failure.
    pub fn refusal(&self) -> Option<&Refusal> {
        self.refusal.as_ref()
    }

    /// Replaces the refusal by a newer one, but keeps that the work may have run and
    /// the earliest time at which to try again.
    fn merge(&mut self, mut refusal: Refusal) {
        if let Some(earlier) = &self.refusal {
            if earlier.ran == Ran::Unknown {
                refusal.ran = Ran::Unknown;
            }
            refusal.retry_after = earliest(earlier.retry_after, refusal.retry_after);
        }
        self.refusal = Some(refusal);
    }

    /// Replaces a broken engine as the reason by the empty budget, which alone kept
    /// the request from another engine; a refusal for load stays the reason.
    fn report_empty_budget(&mut self) {
        if let Some(refusal) = &mut self.refusal
            && refusal.reason == Reason::Engine
        {
            refusal.reason = Reason::Retries;
        }
    }
}

/// Returns the earlier of two times; zero stands for an unknown one.
fn earliest(left: Duration, right: Duration) -> Duration {
    match (left.is_zero(), right.is_zero()) {
        (true, _) => right,
        (_, true) => left,
        _ => left.min(right),
    }
}
