//! The keys under a prefix of the key-value service, and their changes.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;

use crate::store::Change;
use crate::store::Entry;
use crate::store::Error;

/// A change feed of the keys under a prefix of the key-value service.
///
/// A reader scans once and then requests the changes after that scan, so that it
/// misses no change and reads none twice.
pub trait Feed {
    /// Reads all keys that start with a prefix.
    ///
    /// # Errors
    ///
    /// See [`Error`]; never [`Error::Lost`].
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, Error>>;

    /// Reads all keys that start with a prefix as they were some seconds ago at most, where the
    /// store has a cheaper way to read them. [`Feed::changes`] after the listing's version
    /// returns what it lacks.
    ///
    /// # Errors
    ///
    /// As for [`Feed::scan`].
    fn scan_cached<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, Error>> {
        self.scan(prefix)
    }

    /// Waits for changes under a prefix after a version of the store, no longer
    /// than `wait`. Returns an empty change if there were none.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] if the store no longer has these changes, and [`Error::Restored`] if
    /// it has come back from a copy since that version: scan again.
    /// Otherwise see [`Error`].
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Change, Error>>;
}

/// All keys under a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The keys, sorted.
    pub entries: Vec<Entry>,
    /// The store's version at the scan, after which changes are requested.
    pub version: u64,
}
