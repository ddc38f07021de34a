//! Time limits of the lease that claims share, safe for a process that is paused.

use std::time::Duration;

/// A lease accepts new claims for this fraction (1/n) of the claim age.
const ACCEPT_DIVISOR: u32 = 4;

/// A claimed call must begin within this fraction (1/n) of the claim age.
const BEGIN_DIVISOR: u32 = 2;

/// Term of a lease that many claims share, so that a call needs no lease write of its own.
///
/// The lease is never renewed. Its time to live is five quarters of the claim age and it
/// accepts new claims for the first quarter, so each claim lives at least the claim age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    start: Duration,
    age: Duration,
}

impl Term {
    /// Returns the term of a lease that is requested at `start`, which must be taken before
    /// the lease is granted. `age` is the claim age.
    pub fn new(start: Duration, age: Duration) -> Term {
        Term { start, age }
    }

    /// Returns the lease's time to live, in whole seconds.
    pub fn ttl_seconds(&self) -> u64 {
        (self.age + self.age / ACCEPT_DIVISOR).as_secs().max(1)
    }

    /// Returns whether a new claim may be bound to the lease.
    pub fn accepts_claims(&self, now: Duration) -> bool {
        now.saturating_sub(self.start) < self.age / ACCEPT_DIVISOR
    }

    /// Returns whether a claimed call may still begin.
    ///
    /// After a long pause of the process it may not, since the claim may soon expire.
    pub fn can_begin(&self, now: Duration) -> bool {
        now.saturating_sub(self.start) < self.age / BEGIN_DIVISOR
    }
}
