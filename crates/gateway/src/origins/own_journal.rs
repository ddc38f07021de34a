//! The journal of this process in the store.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use policy::origin::ProcessId;
use policy::origin::Segment;
use services::store::Entry;
use tokio::time::Instant;

/// The journal of this process, as far as the store has it.
#[derive(Debug, Default)]
pub(crate) struct OwnJournal {
    /// Sorted by service and version; empty if the store has none.
    versions: Mutex<Arc<Vec<(String, String)>>>,
    /// Name of this process, once it is known.
    process: Mutex<ProcessId>,
    /// Common prefix of its keys, once they are written.
    prefix: Mutex<Option<String>>,
    /// Time until which the store has it for sure, unless it was away.
    valid_until: Mutex<Option<Instant>>,
    /// Whether the store may have lost it.
    is_doubtful: AtomicBool,
}

impl OwnJournal {
    /// Sets the name of this process.
    pub(crate) fn set_process(&self, process: &str) {
        process.clone_into(&mut self.process.lock());
    }

    /// Returns the name of this process, which is empty until it is known.
    pub(crate) fn process(&self) -> ProcessId {
        self.process.lock().clone()
    }

    /// Records that the store has it, and until when.
    pub(crate) fn set(&self, prefix: &str, versions: &Segment, valid_until: Instant) {
        *self.valid_until.lock() = Some(valid_until);
        let rows = versions.rows.iter();
        let rows = rows.map(|row| (row.service.clone(), row.version.clone()));
        *self.versions.lock() = Arc::new(rows.collect());
        *self.prefix.lock() = Some(prefix.to_owned());
    }

    /// Records that the store has lost it.
    pub(crate) fn clear(&self) {
        *self.versions.lock() = Arc::default();
    }

    /// Returns its versions, sorted by service and version. New streams begin there: to other gateways it
    /// looks as if this one used no other version.
    pub(crate) fn versions(&self) -> Arc<Vec<(String, String)>> {
        Arc::clone(&self.versions.lock())
    }

    /// Whether the journal in the store names a version. Then no gateway infers another one for a stream of
    /// this process.
    pub(crate) fn names(&self, service: &str, version: &str) -> bool {
        let find = |other: &(String, String)| {
            (other.0.as_str(), other.1.as_str()).cmp(&(service, version))
        };
        let is_valid = self.valid_until.lock().is_some_and(|until| Instant::now() < until);
        is_valid && self.versions().binary_search_by(find).is_ok()
    }

    /// Whether the journal in the store names the versions of all rows of a segment.
    pub(crate) fn has_versions(&self, streams: &Segment) -> bool {
        streams.rows.iter().all(|row| self.names(&row.service, &row.version))
    }

    /// Checks whether its keys are among all that the store has. Returns whether they have gone.
    pub(crate) fn check(&self, entries: &[Entry]) -> bool {
        let prefix = self.prefix.lock().clone();
        let has_key = |prefix: String| entries.iter().any(|entry| entry.key.starts_with(&prefix));
        let is_gone = prefix.is_some_and(|prefix| !has_key(prefix));
        self.is_doubtful.fetch_or(is_gone, Ordering::SeqCst);
        is_gone
    }

    /// Whether the store may have lost it since the last call.
    pub(crate) fn take_doubt(&self) -> bool {
        self.is_doubtful.swap(false, Ordering::SeqCst)
    }
}
