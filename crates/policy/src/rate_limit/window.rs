//! Count of the latest events.

use std::time::Duration;

use crate::rate_limit::SPAN;

/// Slots of a window.
const SLOTS: usize = 16;

/// Number of events in the latest [`SPAN`], to within one slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct Window {
    counts: [u32; SLOTS],
    /// Number of the latest slot since the start of the process.
    latest: u64,
}

impl Window {
    /// Counts an event.
    pub fn add(&mut self, now: Duration) {
        self.advance(now);
        let count = &mut self.counts[(self.latest % SLOTS as u64) as usize];
        *count = count.saturating_add(1);
    }

    /// Returns the number of events in the latest [`SPAN`].
    pub fn count(&self, now: Duration) -> u32 {
        let mut current = *self;
        current.advance(now);
        current.counts.iter().sum()
    }

    /// Forgets events that are older than [`SPAN`].
    fn advance(&mut self, now: Duration) {
        let slot = (now.as_millis() * SLOTS as u128 / SPAN.as_millis()) as u64;
        let passed = slot.saturating_sub(self.latest).min(SLOTS as u64);
        for expired in slot.saturating_sub(passed)..slot {
            self.counts[((expired + 1) % SLOTS as u64) as usize] = 0;
        }
        self.latest = self.latest.max(slot);
    }
}
