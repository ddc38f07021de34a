//! Histories of the store. Its revisions order changes within one only.

use std::time::Duration;

/// A history of the store; it begins another one whenever it comes back from a copy.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct History {
    /// Number of restores before it.
    pub(crate) restores: u64,
    /// Time at which the endpoints were first read from it.
    pub(crate) since: Duration,
    /// Whether the endpoints were read from no history before it.
    pub(crate) is_first: bool,
}

impl History {
    /// Begins another history if it comes after more restores, or if the endpoints were read for the
    /// first time.
    pub(crate) fn advance(&mut self, restores: u64, is_first: bool, now: Duration) {
        if is_first || restores > self.restores {
            *self = History { restores, since: now, is_first };
        }
    }
}
