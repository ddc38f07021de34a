//! Permits of one gateway for one endpoint.

use std::time::Duration;

/// A token bucket whose permits lapse.
///
/// A gateway's part of a limit may be far below one permit in the time that is looked at. The
/// first permit is therefore due at a random point of the interval between two, so that hundreds
/// of gateways don't send at the same moment, and a permit that isn't used lapses, so that they
/// can't save up together more than the endpoint bears.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bucket {
    /// A permit is available from 0 on; below, it is the part of one that is still missing.
    permits: f64,
    refilled: Duration,
}

impl Bucket {
    /// Creates a bucket that holds what it would hold if no permit had been used for long. Permits
    /// are due `phase` intervals after those of a bucket with phase 0, from 0 to 1.
    pub fn new(phase: f64) -> Bucket {
        Bucket { permits: -phase, refilled: Duration::ZERO }
    }

    /// Adds the permits of the time since the last refill, at a rate in permits per second. At most
    /// `depth` permits are kept; it may be a fraction, which is then the likelihood of one.
    pub fn refill(&mut self, rate: f64, depth: f64, now: Duration) {
        self.permits += rate * now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        // Whole permits lapse, so that the phase stays.
        self.permits -= (self.permits - depth).ceil().max(0.0);
    }

    /// Whether a permit is available.
    pub fn has_permit(&self) -> bool {
        self.permits >= 0.0
    }

    /// Uses a permit.
    pub fn take(&mut self) {
        self.permits -= 1.0;
    }

    /// Returns the time until a permit is available, at a rate in permits per second.
    pub fn wait(&self, rate: f64) -> Duration {
        let missing = (-self.permits).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }
}
