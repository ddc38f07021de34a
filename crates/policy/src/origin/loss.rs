//! Journals that the store has lost.

use std::time::Duration;

use crate::origin::LOST_JOURNALS_TIME;
use crate::origin::Segment;

/// A loss of journals: their leases ended while the store was away, or it came back from a copy.
///
/// Gateways that live write theirs again. One that has ended may have begun streams that are nowhere
/// else, but only at versions that were announced before.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Loss {
    /// Time since it was noticed.
    pub age: Duration,
    /// The versions that were announced before the store went away.
    pub versions: Segment,
}

impl Loss {
    /// Time after which the streams of processes that ended before it are over.
    pub const MAX_AGE: Duration = LOST_JOURNALS_TIME;

    /// Returns the versions of a service.
    pub(crate) fn versions(&self, service: &str) -> impl Iterator<Item = &str> {
        self.versions.versions(service)
    }
}
