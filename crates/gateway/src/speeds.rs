//! How fast the endpoints of each service work, relative to each other.

use std::sync::Arc;
use std::time::Duration;

use policy::speed;
use policy::speed::Sums;
use policy::speed::Work;
use route::Endpoint;

use crate::quarantine::start_id;
use crate::record;
use crate::tracked::Tracked;

/// Most endpoints that have a gauge of their own, so that a fleet whose endpoints change for months
/// doesn't fill the metrics.
const MAX_GAUGES: usize = 64;

/// The speeds of the endpoints of each service. Without the setting `endpoints.learn_speed` nothing is
/// recorded and all speeds are 1.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    is_on: bool,
    /// Sorted by service.
    services: Vec<(Arc<str>, speed::Speeds)>,
    /// Number of other gateways whose observations are known.
    gateways: u32,
    /// Ids of the endpoints that have a gauge, sorted, with their services.
    gauges: Vec<(Arc<str>, Arc<str>)>,
}

impl Speeds {
    /// Creates a value without observations.
    pub(crate) fn new(is_on: bool) -> Speeds {
        Speeds { is_on, ..Speeds::default() }
    }

    /// Records how long an endpoint took for work.
    pub(crate) fn record(
        &mut self,
        endpoint: &Endpoint,
        work: Work,
        took: Duration,
        now: Duration,
    ) {
        if !self.is_on {
            return;
        }
        let index = self.find(&endpoint.service).unwrap_or_else(|index| {
            let service = (Arc::clone(&endpoint.service), speed::Speeds::default());
            self.services.insert(index, service);
            index
        });
        self.services[index].1.record(start_id(endpoint), work, took, now);
    }

    /// Returns the speed of an endpoint.
    pub(crate) fn speed(&self, endpoint: &Endpoint) -> f64 {
        let index = self.find(&endpoint.service).ok();
        index.map_or(1.0, |index| self.services[index].1.speed(start_id(endpoint)))
    }

    /// Judges the endpoints of a service if it is time to, and records changes.
    pub(crate) fn judge(&mut self, service: &str, endpoints: &[Tracked], now: Duration) {
        let Ok(index) = self.find(service) else { return };
        let speeds = &mut self.services[index].1;
        let changes = speeds.judge(now);
        if changes.is_empty() {
            return;
        }
        record::unequal_endpoints(service, speeds.differing());
        for change in changes {
            let is_changed = |tracked: &&Tracked| start_id(&tracked.endpoint) == change.endpoint;
            let Some(tracked) = endpoints.iter().find(is_changed) else { continue };
            self.add_gauge(&tracked.endpoint);
            record::speed_change(&tracked.endpoint, &change);
        }
        for (id, _) in self.gauges.iter().filter(|(_, known)| **known == *service) {
            let tracked = endpoints.iter().find(|tracked| tracked.endpoint.id == *id);
            let speed = tracked.map_or(1.0, |tracked| self.speed(&tracked.endpoint));
            record::speed(service, id, speed);
        }
    }

    /// Returns what this gateway tells others of endpoints that differ.
    pub(crate) fn sums(&self, now: Duration) -> Sums {
        let mut sums = Sums::default();
        for (_, speeds) in &self.services {
            speeds.rows(self.gateways, now).into_iter().for_each(|row| sums.add(row));
        }
        sums
    }

    /// Records what the other gateways have observed, and their number.
    pub(crate) fn learn(
        &mut self,
        sums: &Sums,
        gateways: u32,
        endpoints: &[Tracked],
        now: Duration,
    ) {
        if !self.is_on {
            return;
        }
        self.gateways = gateways;
        for tracked in endpoints {
            let id = start_id(&tracked.endpoint);
            let row = sums.row(id);
            let index = match self.find(&tracked.endpoint.service) {
                Ok(index) => index,
                // It gets an entry with the first observation of its own.
                Err(_) => continue,
            };
            self.services[index].1.set_others(id, row, now);
        }
        let names: Vec<Arc<str>> = self.services.iter().map(|(name, _)| Arc::clone(name)).collect();
        names.iter().for_each(|service| self.judge(service, endpoints, now));
    }

    /// Gives an endpoint a gauge unless there are too many.
    fn add_gauge(&mut self, endpoint: &Endpoint) {
        let found = self.gauges.binary_search_by(|(id, _)| id.cmp(&endpoint.id));
        if let Err(index) = found
            && self.gauges.len() < MAX_GAUGES
        {
            let gauge = (Arc::clone(&endpoint.id), Arc::clone(&endpoint.service));
            self.gauges.insert(index, gauge);
        }
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.services.binary_search_by(|(name, _)| (**name).cmp(service))
    }
}
