//! One process's part of a retry budget that belongs to the whole fleet.

/// A part of the ratio is left for requests that were counted but never arrived.
const SAFETY: f64 = 0.8;

/// A token bucket that each first attempt fills by the fleet's ratio.
///
/// Over any span of time a process sends at most its part of the slack and the
/// ratio of its own requests, so that the parts of all processes add up to the
/// fleet's budget without any message. It starts empty: a process that starts
/// again has no second slack. See `docs/decisions/retries.md`.
#[derive(Debug, Clone, Copy)]
pub struct Share {
    ratio: f64,
    most: f64,
    saved: f64,
}

impl Share {
    /// Takes the fleet's ratio of retries to requests, its slack in retries, and
    /// the number of processes that share them.
    pub fn new(ratio: f64, slack: f64, processes: u32) -> Share {
        Share { ratio: ratio * SAFETY, most: part(slack, processes), saved: 0.0 }
    }

    /// Shares the slack among another number of processes from now on.
    pub fn share_among(&mut self, slack: f64, processes: u32) {
        self.most = part(slack, processes);
        self.saved = self.saved.min(self.most);
    }

    /// Counts a first attempt, which earns a part of a retry.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.ratio).min(self.most);
    }

    /// Spends one retry; says whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

fn part(slack: f64, processes: u32) -> f64 {
    slack / f64::from(processes.max(1))
}
