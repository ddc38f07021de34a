//! The achievement and burn of a time window.

use serde::Serialize;

use crate::Count;

/// Counts of a time window, compared with the objectives of their ranks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Window {
    /// The requests by outcome.
    pub count: Count,
    /// The error budget: requests that the objectives allow not to be answered
    /// completely and in time.
    pub budget: f64,
    /// The fraction of requests answered completely and in time, `None` without requests.
    pub achieved: Option<f64>,
    /// The burn: requests not answered completely and in time, as a multiple of the
    /// budget. Above 1 the objective is missed; `None` if the budget is 0, as it is
    /// without requests.
    pub burn: Option<f64>,
}

impl Window {
    /// Adds the count of requests that have an objective in percent.
    pub fn add(&mut self, count: Count, objective: u8) {
        self.count.add(count);
        let allowed = f64::from(100 - objective.min(100)) / 100.0;
        self.budget += count.total() as f64 * allowed;
        self.achieved = self.count.achieved();
        let bad = (self.count.total() - self.count.good) as f64;
        self.burn = (self.budget > 0.0).then(|| bad / self.budget);
    }

    /// Returns the fraction of requests that must be answered completely and in time, the mean
    /// over the requests' objectives, or `None` without requests.
    pub fn objective(&self) -> Option<f64> {
        let total = self.count.total();
        (total > 0).then(|| 1.0 - self.budget / total as f64)
    }
}
