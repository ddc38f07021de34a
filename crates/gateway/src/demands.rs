//! The requests that this gateway got for each service.

use std::sync::Arc;
use std::time::Duration;

use policy::rate_limit::Promises;
use policy::rate_limit::Window;

/// The requests for each service lately, by which gateways divide the limits of its endpoints.
#[derive(Debug, Default)]
pub(crate) struct Demands {
    /// Sorted by service.
    services: Vec<(Arc<str>, Demand)>,
}

/// The requests for one service.
#[derive(Debug, Default)]
struct Demand {
    /// Attempts, wherever they were sent.
    requests: Window,
    /// Clients that were refused for limits and come back.
    promises: Promises,
}

impl Demands {
    /// Counts a request for a service. Returns the number of its latest requests.
    pub(crate) fn record(&mut self, service: &str, now: Duration) -> u32 {
        let requests = &mut self.demand(service).requests;
        requests.add(now);
        requests.count(now)
    }

    /// Returns the number of the latest requests for a service.
    pub(crate) fn count(&self, service: &str, now: Duration) -> u32 {
        self.find(service).map_or(0, |index| self.services[index].1.requests.count(now))
    }

    /// Returns when a client of a service should come back; see [`Promises::next`].
    pub(crate) fn promise(
        &mut self,
        service: &str,
        first: Duration,
        rate: f64,
        now: Duration,
    ) -> Duration {
        self.demand(service).promises.next(first, rate, now)
    }

    fn demand(&mut self, service: &str) -> &mut Demand {
        let index = self.find(service).unwrap_or_else(|index| {
            self.services.insert(index, (Arc::from(service), Demand::default()));
            index
        });
        &mut self.services[index].1
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.services.binary_search_by(|(name, _)| (**name).cmp(service))
    }
}
