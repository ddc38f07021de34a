//! Outlier ejection of the endpoints of each service.

use std::sync::Arc;
use std::time::Duration;

use policy::outlier::Outliers;
use policy::outlier::Verdict;
use route::Endpoint;

use crate::tracked::Tracked;

/// The outlier ejection of each service: endpoints are compared with those of the same service.
#[derive(Debug, Default)]
pub(crate) struct Ejections {
    /// Sorted by service.
    services: Vec<(Arc<str>, Outliers)>,
}

impl Ejections {
    /// Returns the outlier ejection of a service; `None` while nothing was observed of it.
    pub(crate) fn find(&self, service: &str) -> Option<&Outliers> {
        Some(&self.services[self.index(service).ok()?].1)
    }

    /// Returns the outlier ejection of a service, to change it.
    pub(crate) fn find_mut(&mut self, service: &str) -> Option<&mut Outliers> {
        let index = self.index(service).ok()?;
        Some(&mut self.services[index].1)
    }

    /// Returns the outlier ejection of a service, which is added if it is new.
    pub(crate) fn entry(&mut self, service: &Arc<str>) -> &mut Outliers {
        let index = self.index(service).unwrap_or_else(|index| {
            self.services.insert(index, (Arc::clone(service), Outliers::default()));
            index
        });
        &mut self.services[index].1
    }

    /// Whether an endpoint was ejected and has had no good answer since.
    pub(crate) fn is_failing(&self, endpoint: &Endpoint) -> bool {
        let outliers = self.find(&endpoint.service);
        outliers.is_some_and(|outliers| outliers.is_failing(&endpoint.id))
    }

    /// Returns the endpoints of a service without those that are ejected; all of them if none is
    /// left.
    pub(crate) fn without_ejected<'a>(
        &self,
        service: &str,
        available: Vec<&'a Tracked>,
        now: Duration,
    ) -> Vec<&'a Tracked> {
        let Some(outliers) = self.find(service) else { return available };
        let names: Vec<&str> = available.iter().map(|tracked| &*tracked.endpoint.id).collect();
        let verdicts = outliers.verdicts(&names, now);
        let pairs = available.iter().zip(verdicts);
        let healthy = pairs.filter(|(_, verdict)| *verdict == Verdict::Available);
        let healthy: Vec<&Tracked> = healthy.map(|(tracked, _)| *tracked).collect();
        if healthy.is_empty() { available } else { healthy }
    }

    fn index(&self, service: &str) -> Result<usize, usize> {
        self.services.binary_search_by(|(name, _)| (**name).cmp(service))
    }
}
