//! What lies under a prefix of the key-value service, and what changes there.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;

use crate::store::Change;
use crate::store::Entry;
use crate::store::Error;

/// A key-value service that tells of changes under a prefix.
///
/// A reader scans once and then asks for what changed after it, so that it
/// misses nothing and reads nothing twice.
pub trait Feed {
    /// Reads all keys that begin with a prefix.
    ///
    /// # Errors
    ///
    /// See [`Error`]; never [`Error::Lost`].
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, Error>>;

    /// Waits until a key under a prefix changes after a version of the store, no
    /// longer than `wait`; nothing is told where nothing changed.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] where the changes are no longer held: scan again.
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
    /// The store's version as of which changes are to be asked for.
    pub version: u64,
}
