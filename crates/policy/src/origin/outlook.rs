//! What a gateway itself knows of versions.

use std::time::Duration;

use crate::origin::Loss;
use crate::origin::Segment;

/// What a gateway knows of versions, from the announcements of endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outlook {
    /// The versions that were announced lately.
    pub versions: Segment,
    /// Time since it first read the announcements in the present history of the store; a store
    /// that comes back from a copy begins another history.
    pub age: Duration,
    /// Whether it has known no other history.
    pub is_first: bool,
    /// What it knows of the last time at which the store lost journals; `None` if that is long ago.
    pub loss: Option<Loss>,
    /// Versions at which processes that have ended may have begun streams without a journal: those that
    /// were known during the last outage of the store, in which no process could write one.
    pub orphans: Segment,
}

impl Outlook {
    /// Returns the versions of a service.
    pub(crate) fn versions(&self, service: &str) -> impl Iterator<Item = &str> {
        self.versions.versions(service)
    }
}
