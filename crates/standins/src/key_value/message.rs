//! Bodies of calls and answers.

use serde::Deserialize;
use serde::Serialize;

/// Counts the changes of the service.
pub(crate) type Revision = u64;

/// Names a lease; 0 is none.
pub(crate) type LeaseId = u64;

/// A key as it is.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Item {
    pub(crate) key: String,
    /// In base64.
    pub(crate) value: String,
    pub(crate) revision: Revision,
    pub(crate) create_revision: Revision,
    pub(crate) lease: LeaseId,
}

/// One change.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub(crate) enum Event {
    Written(Item),
    Removed { key: String, revision: Revision, removed: bool },
}

impl Event {
    pub(crate) fn key(&self) -> &str {
        match self {
            Event::Written(item) => &item.key,
            Event::Removed { key, .. } => key,
        }
    }

    pub(crate) fn revision(&self) -> Revision {
        match self {
            Event::Written(item) => item.revision,
            Event::Removed { revision, .. } => *revision,
        }
    }
}

#[derive(Debug, Deserialize)]
pub(crate) struct KeyQuery {
    pub(crate) key: String,
}

#[derive(Debug, Deserialize)]
pub(crate) struct RangeQuery {
    pub(crate) prefix: String,
    /// The page begins after this key.
    #[serde(default)]
    pub(crate) after: String,
}

#[derive(Debug, Deserialize)]
pub(crate) struct WatchQuery {
    pub(crate) prefix: String,
    pub(crate) after: Revision,
    pub(crate) wait_ms: u64,
}

#[derive(Debug, Serialize)]
pub(crate) struct Found {
    #[serde(flatten)]
    pub(crate) item: Item,
    pub(crate) as_of: Revision,
}

#[derive(Debug, Serialize)]
pub(crate) struct Page {
    pub(crate) entries: Vec<Item>,
    pub(crate) truncated: bool,
    pub(crate) as_of: Revision,
}

#[derive(Debug, Serialize)]
pub(crate) struct Events {
    pub(crate) events: Vec<Event>,
    pub(crate) as_of: Revision,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Transaction {
    #[serde(default)]
    pub(crate) expect_rev: Vec<Expected>,
    #[serde(default)]
    pub(crate) puts: Vec<Put>,
    #[serde(default)]
    pub(crate) delete: Vec<String>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Expected {
    pub(crate) key: String,
    /// 0: the key must not exist.
    pub(crate) revision: Revision,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Put {
    pub(crate) key: String,
    pub(crate) value: String,
    #[serde(default)]
    pub(crate) lease: LeaseId,
}

#[derive(Debug, Serialize)]
pub(crate) struct Written {
    pub(crate) revision: Revision,
}

#[derive(Debug, Deserialize)]
pub(crate) struct LeaseCall {
    pub(crate) ttl_ms: u64,
}

#[derive(Debug, Serialize)]
pub(crate) struct Granted {
    pub(crate) lease: LeaseId,
    pub(crate) ttl_ms: u64,
}

#[derive(Debug, Serialize)]
pub(crate) struct Kept {
    pub(crate) ttl_ms: u64,
}
