//! Outlier ejection of the endpoints of each service.

use std::sync::Arc;

use policy::outlier::Outliers;
use route::Endpoint;

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

    fn index(&self, service: &str) -> Result<usize, usize> {
        self.services.binary_search_by(|(name, _)| (**name).cmp(service))
    }
}
