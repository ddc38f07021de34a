//! Numbers of requests in flight, by endpoint.

use serde::Deserialize;
use serde::Serialize;

/// A hash of an endpoint's id, which stands for it in few bytes.
pub type Fingerprint = u32;

/// Requests in flight at endpoints. Endpoints without requests have no row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sheet {
    /// Sorted by fingerprint.
    rows: Vec<(Fingerprint, u32)>,
}

impl Sheet {
    /// Adds requests at an endpoint.
    pub fn add(&mut self, endpoint: Fingerprint, requests: u32) {
        if requests == 0 {
            return;
        }
        match self.find(endpoint) {
            Ok(index) => self.rows[index].1 = self.rows[index].1.saturating_add(requests),
            Err(index) => self.rows.insert(index, (endpoint, requests)),
        }
    }

    /// Adds the requests of another sheet.
    pub fn add_all(&mut self, other: &Sheet) {
        for (endpoint, requests) in &other.rows {
            self.add(*endpoint, *requests);
        }
    }

    /// Returns the requests at an endpoint.
    pub fn requests(&self, endpoint: Fingerprint) -> u32 {
        self.find(endpoint).map_or(0, |index| self.rows[index].1)
    }

    /// Returns the number of endpoints with requests.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no endpoint has requests.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Whether the rows are sorted and none is there twice, as a sheet that was received may
    /// not be.
    pub fn is_valid(&self) -> bool {
        self.rows.is_sorted_by(|left, right| left.0 < right.0)
    }

    fn find(&self, endpoint: Fingerprint) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&endpoint, |row| row.0)
    }
}
