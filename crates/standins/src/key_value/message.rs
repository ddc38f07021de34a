//! The parameters and bodies of calls and answers.

use serde::Deserialize;
use serde::Serialize;

/// Number of a state of the store; it grows by one with each transaction and
/// with each removal of a lease's keys.
pub(crate) type Revision = u64;

/// Identifies a lease; 0 stands for no lease.
pub(crate) type LeaseId = u64;

/// A key with its current value.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Item {
    pub(crate) key: String,
    /// The value in base64.
    pub(crate) value: String,
    /// Revision at which the value was written.
    pub(crate) revision: Revision,
    /// Revision at which the key was created.
    pub(crate) create_revision: Revision,
    pub(crate) lease: LeaseId,
}

/// A change of one key.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub(crate) enum Event {
    Written(Item),
    Removed { key: String, revision: Revision, removed: bool },
}

impl Event {
    /// Returns the key that changed.
    pub(crate) fn key(&self) -> &str {
        match self {
            Event::Written(item) => &item.key,
            Event::Removed { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    pub(crate) fn revision(&self) -> Revision {
        match self {
            Event::Written(item) => item.revision,
            Event::Removed { revision, .. } => *revision,
        }
    }
}

/// The query parameters of a read of one key.
#[derive(Debug, Deserialize)]
pub(crate) struct KeyQuery {
    pub(crate) key: String,
}

/// The query parameters of a read of one page of keys.
#[derive(Debug, Deserialize)]
pub(crate) struct RangeQuery {
    pub(crate) prefix: String,
    /// The last key of the page before; empty for the first page.
    #[serde(default)]
    pub(crate) after: String,
}

/// The query parameters of a watch.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchQuery {
    pub(crate) prefix: String,
    /// Only events of later revisions are returned.
    pub(crate) after: Revision,
    /// Milliseconds to wait for an event.
    pub(crate) wait_ms: u64,
}

/// The answer to a read of one key.
#[derive(Debug, Serialize)]
pub(crate) struct Found {
    #[serde(flatten)]
    pub(crate) item: Item,
    /// The store's revision at the time of the read.
    pub(crate) as_of: Revision,
}

/// The answer to a read of one page of keys.
#[derive(Debug, Serialize)]
pub(crate) struct Page {
    pub(crate) entries: Vec<Item>,
    /// Whether more keys follow.
    pub(crate) truncated: bool,
    /// The store's revision at the time of the read.
    pub(crate) as_of: Revision,
}

/// The answer to a watch.
#[derive(Debug, Serialize)]
pub(crate) struct Events {
    pub(crate) events: Vec<Event>,
    /// The revision up to which `events` is complete.
    pub(crate) as_of: Revision,
}

/// The body of a transaction.
#[derive(Debug, Deserialize)]
pub(crate) struct Transaction {
    /// Conditions, all of which must hold.
    #[serde(default)]
    pub(crate) expect_rev: Vec<Expected>,
    #[serde(default)]
    pub(crate) puts: Vec<Put>,
    #[serde(default)]
    pub(crate) delete: Vec<String>,
}

/// A condition on the revision of a key.
#[derive(Debug, Deserialize)]
pub(crate) struct Expected {
    pub(crate) key: String,
    /// Revision of the key's value; 0 requires that the key doesn't exist.
    pub(crate) revision: Revision,
}

/// A write of one key.
#[derive(Debug, Deserialize)]
pub(crate) struct Put {
    pub(crate) key: String,
    /// The value in base64.
    pub(crate) value: String,
    /// Lease that the key is removed with.
    #[serde(default)]
    pub(crate) lease: LeaseId,
}

/// The answer to a committed transaction.
#[derive(Debug, Serialize)]
pub(crate) struct Written {
    pub(crate) revision: Revision,
}

/// The body of a call that grants a lease.
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseCall {
    pub(crate) ttl_ms: u64,
}

/// The answer to a granted lease.
#[derive(Debug, Serialize)]
pub(crate) struct Granted {
    pub(crate) lease: LeaseId,
    pub(crate) ttl_ms: u64,
}

/// The answer to a renewed lease.
#[derive(Debug, Serialize)]
pub(crate) struct Renewed {
    pub(crate) ttl_ms: u64,
}
