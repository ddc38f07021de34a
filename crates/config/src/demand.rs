//! Measured demand for services.

use serde::Deserialize;
use serde::Serialize;
use wire::id;

/// Requests that callers made within a period, added up over all entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests of each service that was called, sorted by service.
    #[serde(rename = "asked")]
    counts: Vec<Count>,
    /// VMs of the entries that did not report their requests.
    pub missing: Vec<id::Vm>,
}

/// Number of requests to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Count {
    service: id::Service,
    requests: u64,
}

impl Demand {
    /// Returns a demand without requests; `missing` are the VMs of the entries that
    /// did not report.
    pub fn new(missing: Vec<id::Vm>) -> Demand {
        Demand { counts: Vec::new(), missing }
    }

    /// Adds a number of requests to a service, including refused ones.
    pub fn add(&mut self, service: &str, requests: u64) {
        match self.position(service) {
            Ok(index) => self.counts[index].requests += requests,
            Err(index) => {
                self.counts.insert(index, Count { service: service.to_owned(), requests })
            }
        }
    }

    /// Returns the number of requests to a service, 0 if it was not called.
    pub fn of(&self, service: &str) -> u64 {
        self.position(service).map_or(0, |index| self.counts[index].requests)
    }

    /// Returns whether no request was made to any service.
    pub fn is_empty(&self) -> bool {
        self.counts.iter().all(|count| count.requests == 0)
    }

    /// Returns the index of a service's count, or as error the index to insert it at.
    fn position(&self, service: &str) -> Result<usize, usize> {
        self.counts.binary_search_by(|count| count.service.as_str().cmp(service))
    }
}
