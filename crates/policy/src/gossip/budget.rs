//! Limit on the bytes that descriptions of other members take.

use std::time::Duration;

/// Rate of descriptions of other members in beats, in bytes per second.
pub const RATE: usize = 200;

/// Burst of descriptions of other members in beats, in bytes, for many changes at once.
pub const BURST: usize = 16 * 1024;

/// A token bucket of bytes.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Bytes added per second.
    rate: usize,
    /// Capacity in bytes.
    burst: usize,
    /// Bytes in the bucket at the last refill.
    available: usize,
    last_refill: Duration,
}

impl Budget {
    /// Returns a full budget with a rate in bytes per second and a capacity in bytes.
    pub fn new(rate: usize, burst: usize, now: Duration) -> Budget {
        Budget { rate, burst, available: burst, last_refill: now }
    }

    /// Refills the bucket and returns the bytes that may be sent now.
    pub fn available(&mut self, now: Duration) -> usize {
        let passed = now.saturating_sub(self.last_refill);
        let earned = passed.as_millis().saturating_mul(self.rate as u128) / 1000;
        // Keeps the time of the last refill until a whole byte is earned, so that
        // frequent calls don't lose fractions.
        if earned > 0 {
            let earned = usize::try_from(earned).unwrap_or(self.burst);
            self.available = self.available.saturating_add(earned).min(self.burst);
            self.last_refill = now;
        }
        self.available
    }

    /// Returns the capacity in bytes.
    pub fn burst(&self) -> usize {
        self.burst
    }

    /// Takes sent bytes out of the bucket.
    pub fn spend(&mut self, bytes: usize) {
        self.available = self.available.saturating_sub(bytes);
    }
}
