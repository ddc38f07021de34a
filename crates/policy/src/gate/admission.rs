//! The result of an admission check.

use std::time::Duration;

use crate::gate::Id;

/// The terms on which a ticket is admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Admission {
    /// Waiting tickets that are evicted to make space for it.
    pub(super) victims: Vec<Id>,
    /// Predicted time in the queue; `None` if the ticket starts at once.
    pub(super) wait: Option<Duration>,
}
