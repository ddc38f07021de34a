//! What gateways tell each other of failing endpoints.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::exchange::Additive;
use crate::failure_rate::Counts;
use crate::quarantine::StartId;

/// Most rows of a sheet: several times the endpoints of the largest known deployment.
const MAX_ROWS: usize = 256;

/// Highest count of a row: more requests than an endpoint can end in the span.
const MAX_COUNT: u32 = 1_000_000;

/// The requests of one or several gateways that ended lately at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The start of the endpoint.
    pub endpoint: StartId,
    /// Requests that ended in the latest [`crate::failure_rate::SPAN`].
    pub requests: u32,
    /// Those of them that failed.
    pub failures: u32,
}

/// The requests at all endpoints that failed some of them lately.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sheet {
    /// Sorted by endpoint.
    rows: Vec<Row>,
}

impl Row {
    /// Returns its counts.
    pub fn counts(&self) -> Counts {
        Counts { requests: self.requests, failures: self.failures }
    }
}

impl Sheet {
    /// Creates a sheet from the rows of one gateway. Of too many rows, those with the most failures
    /// are kept.
    pub fn new(mut rows: Vec<Row>) -> Sheet {
        rows.sort_by_key(|row| (std::cmp::Reverse(row.failures), row.endpoint));
        let mut sheet = Sheet::default();
        rows.into_iter().take(MAX_ROWS).for_each(|row| sheet.add(row));
        sheet
    }

    /// Adds the requests of another gateway. Endpoints beyond the most rows of a sheet are left out.
    pub fn add(&mut self, row: Row) {
        match self.find(row.endpoint) {
            Ok(index) => {
                let known = &mut self.rows[index];
                let sum = known.counts().plus(row.counts());
                known.requests = sum.requests.min(MAX_COUNT);
                known.failures = sum.failures.min(known.requests);
            }
            Err(_) if self.rows.len() >= MAX_ROWS => {}
            Err(index) => self.rows.insert(index, row),
        }
    }

    /// Returns the requests at an endpoint.
    pub fn row(&self, endpoint: StartId) -> Option<&Row> {
        Some(&self.rows[self.find(endpoint).ok()?])
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Whether the rows are sorted, not too many, and their counts possible, as in a message that
    /// was received they may not be.
    pub fn is_valid(&self) -> bool {
        let is_possible = |row: &Row| row.failures <= row.requests && row.requests <= MAX_COUNT;
        self.rows.len() <= MAX_ROWS
            && self.rows.is_sorted_by(|left, right| left.endpoint < right.endpoint)
            && self.rows.iter().all(is_possible)
    }

    fn find(&self, endpoint: StartId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&endpoint, |row| row.endpoint)
    }
}

impl Additive for Sheet {
    fn add_all(&mut self, other: &Sheet, _age: Duration) {
        other.rows.iter().for_each(|row| self.add(*row));
    }
}
