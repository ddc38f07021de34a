//! One process's share of the fleet's retry budget.

/// The part of the ratio that is used; the rest allows for requests that were
/// counted but never arrived.
const SAFETY_FACTOR: f64 = 0.8;

/// A token bucket of retries, filled by each first attempt by the fleet's ratio.
///
/// Over any span of time a process sends at most its part of the slack and the
/// ratio of its own requests, so that the shares of all processes add up to the
/// fleet's budget without any message. The bucket starts empty, so that a
/// restarted process gets no second slack. See `docs/decisions/retries.md`.
#[derive(Debug, Clone, Copy)]
pub struct Share {
    ratio: f64,
    max_retries: f64,
    retries: f64,
}

impl Share {
    /// Creates an empty share from the fleet's ratio of retries to requests, its
    /// slack in retries and the number of processes that share them.
    pub fn new(ratio: f64, slack: f64, processes: u32) -> Share {
        Share { ratio: ratio * SAFETY_FACTOR, max_retries: part(slack, processes), retries: 0.0 }
    }

    /// Sets the fleet's slack, in retries, and the number of processes that share it.
    /// Retries above the new share are lost at once.
    pub fn share_among(&mut self, slack: f64, processes: u32) {
        self.max_retries = part(slack, processes);
        self.retries = self.retries.min(self.max_retries);
    }

    /// Counts a first attempt, which earns a fraction of a retry.
    pub fn earn(&mut self) {
        self.retries = (self.retries + self.ratio).min(self.max_retries);
    }

    /// Whether there is a retry to spend.
    pub fn has_retry(&self) -> bool {
        self.retries >= 1.0
    }

    /// Spends one retry; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}

fn part(slack: f64, processes: u32) -> f64 {
    slack / f64::from(processes.max(1))
}
