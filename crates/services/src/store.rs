//! The interface to the key-value service.

use std::rc::Rc;
use std::sync::Arc;

use displaydoc::Display;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;

/// A key-value service with compare-and-swap, leases and watches.
///
/// Futures are local to a worker because the HTTP client is.
pub trait Store {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// See [`Error`]; a read never gives [`Error::Lost`].
    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Entry>, Error>>;

    /// Reads all keys that start with a prefix, sorted by key.
    ///
    /// # Errors
    ///
    /// See [`Error`]; a read never gives [`Error::Lost`].
    fn list<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<Entry>, Error>>;

    /// Reads all keys that start with a prefix as they were some seconds ago at most, where
    /// the service has a cheaper way to read them.
    ///
    /// # Errors
    ///
    /// As for [`Store::list`].
    fn list_cached<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<Entry>, Error>> {
        self.list(prefix)
    }

    /// Applies all writes of a commit if every condition holds, else none.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] if the write may have taken effect: read the keys back.
    /// Otherwise see [`Error`].
    fn commit<'a>(&'a self, write: &'a Commit) -> LocalBoxFuture<'a, Result<Outcome, Error>>;

    /// Waits until a key changes after a version of the store. Returns its entry,
    /// or `None` if it was removed.
    ///
    /// # Errors
    ///
    /// See [`Error`]; after any error the caller reads the key and watches again.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
    ) -> LocalBoxFuture<'a, Result<Option<Entry>, Error>>;

    /// Waits until some key from `first` to `last`, both included, changes after
    /// a version of the store. Returns the changes with their values, so that a
    /// reader needs no further call. The default, for services without range
    /// watches, watches only `last`.
    ///
    /// # Errors
    ///
    /// See [`Error`]; after any error the caller reads the keys and watches again.
    fn watch_range<'a>(
        &'a self,
        _first: &'a str,
        last: &'a str,
        after: u64,
    ) -> LocalBoxFuture<'a, Result<Change, Error>> {
        let changed = move |entry: Option<Entry>| {
            let version = entry.as_ref().map_or(after, |entry| entry.version);
            let is_removed = entry.is_none();
            let removed = is_removed.then(|| last.to_owned()).into_iter().collect();
            Change { version, entries: entry.into_iter().collect(), removed }
        };
        async move { self.watch(last, after).await.map(changed) }.boxed_local()
    }

    /// Grants a lease with a time to live in seconds. Keys bound to it are removed
    /// when it expires.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    fn grant(&self, seconds: u64) -> LocalBoxFuture<'_, Result<Lease, Error>>;

    /// Renews a lease. Returns `false` if it has already expired.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    fn renew(&self, lease: Lease) -> LocalBoxFuture<'_, Result<bool, Error>>;
}

/// Creates a client of the key-value service on the thread that calls it.
pub type StoreFactory = Arc<dyn Fn() -> Rc<dyn Store> + Send + Sync>;

/// Identifies a lease of the key-value service.
pub type Lease = i64;

/// A key with its value and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's version at the key's last change, used in conditions and as a fencing token;
    /// see [`crate::version`].
    pub version: u64,
}

/// Changes in a range of keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The store's version at the last change.
    pub version: u64,
    /// Keys that were written, with the values of that write.
    pub entries: Vec<Entry>,
    /// Keys that were removed.
    pub removed: Vec<String>,
}

impl Change {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.removed.is_empty()
    }
}

/// A conditional transaction: all of its writes are applied, or none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Commit {
    /// Conditions that all have to hold.
    pub conditions: Vec<Condition>,
    /// Values to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// A condition on the version of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version it must have, 0 if the key must not exist.
    pub version: u64,
}

/// A value to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value, at most a megabyte.
    pub value: Vec<u8>,
    /// The lease with which the key expires, if any.
    pub lease: Option<Lease>,
}

/// The outcome of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All writes were applied, at this version of the store.
    Written(u64),
    /// A condition did not hold, so nothing was written.
    Conflict,
}

/// Why a call of the key-value service failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the key-value service can't be reached ({0}): it is asked again with backoff; check platform.key_value
    Down(String),
    /// the key-value service limits our calls: they are spread out and tried again
    Limited,
    /// the answer to a write was lost ({0}): it may have taken effect, so it is read back
    Lost(String),
    /// the changes asked for are no longer held: all keys are read again
    Compacted,
    /// the key-value service has come back from a copy: all keys are read again
    Restored,
    /// the key-value service gave an answer that can't be read ({0}): check what the settings' address of it leads to
    Protocol(String),
}

impl std::error::Error for Error {}
