//! One request's place in the count of an endpoint.

use std::sync::Arc;

use crate::Knowledge;

/// Counts a request at an endpoint until it is dropped.
#[derive(Debug)]
pub(crate) struct Seat {
    knowledge: Arc<Knowledge>,
    endpoint: Arc<str>,
}

impl Seat {
    /// Takes over the count that [`Knowledge::choose`] began.
    pub(crate) fn of(knowledge: &Arc<Knowledge>, endpoint: &Arc<str>) -> Seat {
        Seat { knowledge: Arc::clone(knowledge), endpoint: Arc::clone(endpoint) }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.knowledge.ended(&self.endpoint);
    }
}
