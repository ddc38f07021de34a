//! A fixed-window rate limiter.

use std::time::Duration;
use std::time::Instant;

/// Length of the window in which calls are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the calls in each window of one second.
#[derive(Debug)]
pub(crate) struct Limiter {
    limit: u32,
    used: u32,
    window_start: Instant,
}

impl Limiter {
    /// Creates a limiter that admits `limit` calls a second; 0 admits all.
    pub(crate) fn new(limit: u32) -> Self {
        Self { limit, used: 0, window_start: Instant::now() }
    }

    /// Counts one call; returns false if the current window's limit is used up.
    pub(crate) fn try_acquire(&mut self) -> bool {
        if self.limit == 0 {
            return true;
        }
        if self.window_start.elapsed() >= WINDOW {
            self.window_start = Instant::now();
            self.used = 0;
        }
        if self.used == self.limit {
            return false;
        }
        self.used += 1;
        true
    }
}
