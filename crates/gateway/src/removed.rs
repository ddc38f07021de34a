//! Endpoints that were removed lately.

use std::sync::Arc;
use std::time::Duration;

use route::Endpoint;

/// How long a removed endpoint is remembered: the copies from which stores come back are some
/// seconds old.
const TTL: Duration = Duration::from_secs(60);

/// Endpoints that were removed lately. A store that comes back from a copy may still have them.
#[derive(Debug, Default)]
pub(crate) struct Removed {
    /// With the times at which they were removed, in this order.
    endpoints: Vec<(Arc<Endpoint>, Duration)>,
}

impl Removed {
    /// Remembers a removed endpoint.
    pub(crate) fn add(&mut self, endpoint: Arc<Endpoint>, now: Duration) {
        self.endpoints.retain(|(_, at)| now.saturating_sub(*at) < TTL);
        self.endpoints.push((endpoint, now));
    }

    /// Forgets an endpoint, which has announced itself.
    pub(crate) fn forget(&mut self, id: &str) {
        self.endpoints.retain(|(endpoint, _)| *endpoint.id != *id);
    }

    /// Whether this start of an endpoint was removed.
    pub(crate) fn contains(&self, endpoint: &Endpoint, now: Duration) -> bool {
        self.endpoints
            .iter()
            .any(|(removed, at)| removed.is_same_start(endpoint) && now.saturating_sub(*at) < TTL)
    }
}
