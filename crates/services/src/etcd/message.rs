//! The messages of the gateway, as far as they are used here.

use serde::Deserialize;
use serde::Serialize;

use crate::etcd::scalar::Blob;
use crate::etcd::scalar::Int;
use crate::store::Commit;
use crate::store::Entry;

/// Reads one key, or all from `key` up to `range_end`.
#[derive(Debug, Serialize)]
pub(crate) struct Range {
    pub(crate) key: Blob,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) range_end: Option<Blob>,
}

/// The keys of a range.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Ranged {
    pub(crate) kvs: Vec<KeyValue>,
}

/// A key as the service holds it.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeyValue {
    pub(crate) key: Blob,
    pub(crate) value: Blob,
    pub(crate) mod_revision: Int,
}

/// Writes under conditions.
#[derive(Debug, Serialize)]
pub(crate) struct Txn {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<Operation>,
}

/// A condition on a key's last change.
#[derive(Debug, Serialize)]
pub(crate) struct Compare {
    pub(crate) key: Blob,
    pub(crate) target: &'static str,
    pub(crate) result: &'static str,
    pub(crate) mod_revision: Int,
}

/// One write.
#[derive(Debug, Serialize)]
pub(crate) enum Operation {
    #[serde(rename = "request_put")]
    Put(Put),
    #[serde(rename = "request_delete_range")]
    Remove(Range),
}

/// Writes a key.
#[derive(Debug, Serialize)]
pub(crate) struct Put {
    pub(crate) key: Blob,
    pub(crate) value: Blob,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) lease: Option<Int>,
}

/// What came of a [`Txn`].
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnAnswer {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
}

/// What every answer begins with.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub(crate) revision: Int,
}

/// Asks for a lease or renews one.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseCall {
    #[serde(rename = "ID", skip_serializing_if = "Option::is_none")]
    pub(crate) id: Option<Int>,
    #[serde(rename = "TTL", skip_serializing_if = "Option::is_none")]
    pub(crate) ttl: Option<Int>,
}

/// A lease with the seconds left to it.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseAnswer {
    #[serde(rename = "ID")]
    pub(crate) id: Int,
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int,
}

/// An answer out of a stream.
#[derive(Debug, Deserialize)]
pub(crate) struct Streamed<T> {
    pub(crate) result: T,
}

/// Opens a watch.
#[derive(Debug, Serialize)]
pub(crate) struct Watch {
    pub(crate) create_request: WatchCreate,
}

/// What to watch, and from where on.
#[derive(Debug, Serialize)]
pub(crate) struct WatchCreate {
    #[serde(flatten)]
    pub(crate) range: Range,
    pub(crate) start_revision: Int,
}

/// News of a watch.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Watched {
    pub(crate) canceled: bool,
    pub(crate) compact_revision: Int,
    pub(crate) events: Vec<Event>,
}

/// A change of a key.
#[derive(Debug, Deserialize)]
pub(crate) struct Event {
    #[serde(rename = "type", default)]
    pub(crate) kind: EventKind,
    #[serde(default)]
    pub(crate) kv: KeyValue,
}

/// Whether a key was written or removed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventKind {
    #[default]
    Put,
    Delete,
}

/// Why the gateway refused a call.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Fault {
    pub(crate) code: i32,
}

impl Range {
    /// One key.
    pub(crate) fn of_key(key: &str) -> Range {
        Range { key: blob(key), range_end: None }
    }

    /// All keys that begin with a prefix.
    pub(crate) fn of_prefix(prefix: &str) -> Range {
        Range { key: blob(prefix), range_end: Some(Blob(end_of(prefix.as_bytes()))) }
    }

    /// All keys from one to another, both included.
    pub(crate) fn from_to(first: &str, last: &str) -> Range {
        let end = [last.as_bytes(), &[0]].concat();
        Range { key: blob(first), range_end: Some(Blob(end)) }
    }
}

impl Txn {
    /// The same as [`Commit`].
    pub(crate) fn new(write: &Commit) -> Txn {
        let compare = write.conditions.iter().map(|condition| Compare {
            key: blob(&condition.key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: Int::from(condition.version),
        });
        let puts = write.puts.iter().map(|put| {
            Operation::Put(Put {
                key: blob(&put.key),
                value: Blob(put.value.clone()),
                lease: put.lease.map(Int),
            })
        });
        let removes = write.removes.iter().map(|key| Operation::Remove(Range::of_key(key)));
        Txn { compare: compare.collect(), success: puts.chain(removes).collect() }
    }
}

impl Watch {
    /// Watches keys for changes after a version.
    pub(crate) fn new(range: Range, after: u64) -> Watch {
        let start_revision = Int::from(after.saturating_add(1));
        Watch { create_request: WatchCreate { range, start_revision } }
    }
}

impl KeyValue {
    /// The same as [`Entry`], or `None` if the key is no text.
    pub(crate) fn into_entry(self) -> Option<Entry> {
        let key = String::from_utf8(self.key.0).ok()?;
        Some(Entry { key, value: self.value.0, version: self.mod_revision.version() })
    }
}

fn blob(text: &str) -> Blob {
    Blob(text.as_bytes().to_vec())
}

/// The first key after all that begin with a prefix; a zero byte stands for none.
fn end_of(prefix: &[u8]) -> Vec<u8> {
    let Some(last) = prefix.iter().rposition(|byte| *byte < u8::MAX) else { return vec![0] };
    let mut end = prefix[..=last].to_vec();
    end[last] += 1;
    end
}
