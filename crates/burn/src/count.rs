//! Counts of requests by outcome.

use serde::Deserialize;
use serde::Serialize;

/// Numbers of requests by outcome; requests rejected for the caller's own errors are not counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that were answered completely and in time.
    pub good: u64,
    /// Requests that were answered completely, but whose first token or a later one was late.
    pub late: u64,
    /// Requests that were refused without having run.
    pub refused: u64,
    /// Requests whose answer broke off or whose outcome is unknown.
    pub failed: u64,
}

/// The outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request was answered completely and in time.
    Good,
    /// The request was answered completely, but its first token or a later one was late.
    Late,
    /// The request was refused without having run.
    Refused,
    /// The answer broke off, or its outcome is unknown.
    Failed,
}

impl Count {
    /// Counts one request with its outcome.
    pub fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Good => self.good += 1,
            Outcome::Late => self.late += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    /// Adds the numbers of another count.
    pub fn add(&mut self, other: Count) {
        self.good += other.good;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
    }

    /// Returns the number of requests with any outcome.
    pub fn total(&self) -> u64 {
        self.good + self.late + self.refused + self.failed
    }

    /// Returns the fraction of requests answered completely and in time, `None` without requests.
    pub fn achieved(&self) -> Option<f64> {
        let total = self.total();
        (total > 0).then(|| self.good as f64 / total as f64)
    }
}
