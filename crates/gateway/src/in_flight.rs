//! Guard of a request that is in flight at an endpoint.

use std::sync::Arc;

use crate::Knowledge;

/// Counts a request as in flight at an endpoint until the guard is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    knowledge: Arc<Knowledge>,
    endpoint: Arc<str>,
}

impl InFlight {
    /// Creates the guard of a request that [`Knowledge::choose`] has already counted.
    pub(crate) fn new(knowledge: &Arc<Knowledge>, endpoint: &Arc<str>) -> InFlight {
        InFlight { knowledge: Arc::clone(knowledge), endpoint: Arc::clone(endpoint) }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.knowledge.request_ended(&self.endpoint);
    }
}
