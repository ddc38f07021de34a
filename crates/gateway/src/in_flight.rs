//! Guard of a request that is in flight at an endpoint.

use std::sync::Arc;

use crate::Routing;

/// Counts a request as in flight at an endpoint until the guard is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    routing: Arc<Routing>,
    endpoint: Arc<str>,
}

impl InFlight {
    /// Creates the guard of a request that [`Routing::choose`] has already counted.
    pub(crate) fn new(routing: &Arc<Routing>, endpoint: &Arc<str>) -> InFlight {
        InFlight { routing: Arc::clone(routing), endpoint: Arc::clone(endpoint) }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.routing.request_ended(&self.endpoint);
    }
}
