//! Count of the latest requests that ended.

use std::time::Duration;

use crate::failure_rate::SPAN;

/// Slots of a window.
const SLOTS: usize = 12;

/// Requests that ended, and how many of them failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// All requests that ended.
    pub requests: u32,
    /// Those of them that failed.
    pub failures: u32,
}

impl Counts {
    /// Returns the sum of both.
    pub fn plus(self, other: Counts) -> Counts {
        Counts {
            requests: self.requests.saturating_add(other.requests),
            failures: self.failures.saturating_add(other.failures),
        }
    }

    /// Returns the share of failures; 0 without requests.
    pub fn share(self) -> f64 {
        f64::from(self.failures) / f64::from(self.requests.max(1))
    }
}

/// The counts of the latest [`SPAN`], to within one slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct Window {
    slots: [Counts; SLOTS],
    /// Number of the latest slot since the start of the process.
    latest: u64,
}

impl Window {
    /// Adds counts.
    pub fn add(&mut self, counts: Counts, now: Duration) {
        self.advance(now);
        let slot = &mut self.slots[(self.latest % SLOTS as u64) as usize];
        *slot = slot.plus(counts);
    }

    /// Returns the counts of the latest [`SPAN`].
    pub fn counts(&self, now: Duration) -> Counts {
        let mut current = *self;
        current.advance(now);
        let sum = current.slots.iter().fold(Counts::default(), |sum, slot| sum.plus(*slot));
        // A stream that breaks off may have been counted as a request before the span.
        Counts { requests: sum.requests.max(sum.failures), ..sum }
    }

    /// Forgets what is older than [`SPAN`].
    fn advance(&mut self, now: Duration) {
        let slot = (now.as_millis() * SLOTS as u128 / SPAN.as_millis()) as u64;
        let passed = slot.saturating_sub(self.latest).min(SLOTS as u64);
        for expired in slot.saturating_sub(passed)..slot {
            self.slots[((expired + 1) % SLOTS as u64) as usize] = Counts::default();
        }
        self.latest = self.latest.max(slot);
    }
}
