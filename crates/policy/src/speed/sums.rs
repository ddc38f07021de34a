//! What gateways tell each other of endpoints of unequal speed.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::exchange::Additive;
use crate::quarantine::StartId;
use crate::speed::measure::FAST_SPAN;
use crate::speed::measure::SLOW_SPAN;
use crate::speed::window::Evidence;

/// Most rows that are kept, so that the messages of a hub stay short: several times the endpoints
/// that a gateway reports.
const MAX_ROWS: usize = 256;

/// Largest deviation of a row, a factor of 400.
const MAX_DEVIATION: f32 = 6.0;

/// Largest weight of a row, more than all gateways of the largest fleet observe of an endpoint.
const MAX_WEIGHT: f32 = 1e5;

/// What one or several gateways have observed of an endpoint, relative to the median of its
/// service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The start of the endpoint.
    pub endpoint: StartId,
    /// Number of the gateways to which the endpoint differs by their own observations. The others
    /// add theirs for the sum to be a mean of all.
    pub reporters: u32,
    /// Weight of the deviations in the short window.
    pub fast_weight: f32,
    /// Weighted sum of these deviations.
    pub fast_sum: f32,
    /// Weight of the deviations in the long window.
    pub slow_weight: f32,
    /// Weighted sum of these deviations.
    pub slow_sum: f32,
}

impl Row {
    pub(super) fn new(endpoint: StartId, reporters: u32, fast: Evidence, slow: Evidence) -> Row {
        Row {
            endpoint,
            reporters,
            fast_weight: fast.weight as f32,
            fast_sum: fast.sum as f32,
            slow_weight: slow.weight as f32,
            slow_sum: slow.sum as f32,
        }
    }

    /// Returns the deviations in the short window.
    pub(super) fn fast(&self) -> Evidence {
        Evidence { weight: f64::from(self.fast_weight), sum: f64::from(self.fast_sum) }
    }

    /// Returns the deviations in the long window.
    pub(super) fn slow(&self) -> Evidence {
        Evidence { weight: f64::from(self.slow_weight), sum: f64::from(self.slow_sum) }
    }

    /// Returns what is left of the row after a time.
    pub(super) fn aged(&self, age: Duration) -> Row {
        let (fast, slow) =
            (self.fast().decayed(age, FAST_SPAN), self.slow().decayed(age, SLOW_SPAN));
        Row::new(self.endpoint, self.reporters, fast, slow)
    }

    fn is_valid(&self) -> bool {
        let is_mean = |weight: f32, sum: f32| {
            (0.0..=MAX_WEIGHT).contains(&weight) && sum.abs() <= weight * MAX_DEVIATION
        };
        is_mean(self.fast_weight, self.fast_sum) && is_mean(self.slow_weight, self.slow_sum)
    }
}

/// What gateways have observed of all endpoints that differ.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Sums {
    /// Sorted by endpoint.
    rows: Vec<Row>,
}

impl Sums {
    /// Adds the observations of another gateway.
    pub fn add(&mut self, row: Row) {
        let index = match self.find(row.endpoint) {
            Ok(index) => index,
            Err(_) if self.rows.len() >= MAX_ROWS => return,
            Err(index) => return self.rows.insert(index, row),
        };
        let known = self.rows[index];
        let reporters = known.reporters.saturating_add(row.reporters);
        let (fast, slow) = (known.fast().plus(row.fast()), known.slow().plus(row.slow()));
        let sum = Row::new(row.endpoint, reporters, fast, slow);
        if sum.is_valid() {
            self.rows[index] = sum;
        }
    }

    /// Returns the observations of an endpoint.
    pub fn row(&self, endpoint: StartId) -> Option<&Row> {
        Some(&self.rows[self.find(endpoint).ok()?])
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no endpoint differs.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Whether the rows are sorted, none is there twice, and all are means of possible deviations,
    /// as in a message that was received they may not be.
    pub fn is_valid(&self) -> bool {
        self.rows.is_sorted_by(|left, right| left.endpoint < right.endpoint)
            && self.rows.iter().all(Row::is_valid)
    }

    fn find(&self, endpoint: StartId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&endpoint, |row| row.endpoint)
    }
}

impl Additive for Sums {
    fn add_all(&mut self, other: &Sums, age: Duration) {
        other.rows.iter().for_each(|row| self.add(row.aged(age)));
    }
}
