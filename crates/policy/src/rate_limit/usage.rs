//! What gateways tell each other of limited endpoints.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::exchange::Additive;
use crate::quarantine::StartId;

/// The requests of one or several gateways at an endpoint that limits them.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The start of the endpoint.
    pub endpoint: StartId,
    /// The limit in requests per second; `None` if it has ended.
    pub max_rate: Option<f64>,
    /// Time since the endpoint said so.
    pub age: Duration,
    /// Requests sent to it in the latest [`crate::rate_limit::SPAN`].
    pub sent: u32,
    /// Requests for its service in that span, wherever they were sent.
    pub wanted: u32,
}

/// The requests at all limited endpoints.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Sorted by endpoint.
    rows: Vec<Row>,
}

impl Usage {
    /// Adds the requests of another gateway. The later word of the endpoint counts.
    pub fn add(&mut self, row: Row) {
        let index = match self.find(row.endpoint) {
            Ok(index) => index,
            Err(index) => return self.rows.insert(index, row),
        };
        let known = &mut self.rows[index];
        if row.age < known.age {
            (known.max_rate, known.age) = (row.max_rate, row.age);
        }
        known.sent = known.sent.saturating_add(row.sent);
        known.wanted = known.wanted.saturating_add(row.wanted);
    }

    /// Returns the requests at an endpoint.
    pub fn row(&self, endpoint: StartId) -> Option<&Row> {
        Some(&self.rows[self.find(endpoint).ok()?])
    }

    /// Returns the number of limited endpoints.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no endpoint is limited.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Whether the rows are sorted, none is there twice and all rates are valid, as in a sheet that
    /// was received they may not be.
    pub fn is_valid(&self) -> bool {
        let is_rate = |rate: f64| rate.is_finite() && rate >= 0.0;
        self.rows.is_sorted_by(|left, right| left.endpoint < right.endpoint)
            && self.rows.iter().all(|row| row.max_rate.is_none_or(is_rate))
    }

    fn find(&self, endpoint: StartId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&endpoint, |row| row.endpoint)
    }
}

impl Additive for Usage {
    fn add_all(&mut self, other: &Usage, age: Duration) {
        for row in &other.rows {
            self.add(Row { age: row.age.saturating_add(age), ..*row });
        }
    }
}
