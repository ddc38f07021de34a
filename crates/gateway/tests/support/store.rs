//! A store that keeps its keys until they are removed.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use parking_lot::Mutex;
use services::Store;
use services::store::Commit;
use services::store::Entry;
use services::store::Error;
use services::store::Lease;
use services::store::Outcome;
use services::version;
use tokio::time::sleep;

/// The keys, shared by all clones.
#[derive(Clone, Default)]
pub struct Fake {
    pub entries: Arc<Mutex<Vec<Entry>>>,
    /// Time that it takes to read all keys with a prefix.
    pub list_time: Duration,
    /// Whether it rejects writes.
    pub is_read_only: Arc<AtomicBool>,
    /// Whether it answers no writes.
    pub is_silent: Arc<AtomicBool>,
    /// Whether it rejects reads.
    pub is_unreadable: Arc<AtomicBool>,
    /// How often it has come back from a copy.
    pub restores: Arc<AtomicU64>,
    /// Whether the lease that is renewed next has ended.
    pub has_lapsed: Arc<AtomicBool>,
}

impl Fake {
    fn version(&self) -> u64 {
        version::version(self.restores.load(Ordering::SeqCst), 1).expect("a version")
    }
}

impl Store for Fake {
    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Entry>, Error>> {
        let entry = self.entries.lock().iter().find(|entry| entry.key == key).cloned();
        async move { Ok(entry) }.boxed_local()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<Entry>, Error>> {
        let entries = self.entries.lock();
        let listed = entries.iter().filter(|entry| entry.key.starts_with(prefix));
        let version = self.version();
        let listed = listed.map(|entry| Entry { version, ..entry.clone() }).collect();
        let time = self.list_time;
        let is_unreadable = self.is_unreadable.load(Ordering::SeqCst);
        async move {
            sleep(time).await;
            if is_unreadable { Err(Error::Down("unreadable".to_owned())) } else { Ok(listed) }
        }
        .boxed_local()
    }

    fn commit<'a>(&'a self, write: &'a Commit) -> LocalBoxFuture<'a, Result<Outcome, Error>> {
        if self.is_read_only.load(Ordering::SeqCst) {
            return async { Err(Error::Down("read only".to_owned())) }.boxed_local();
        }
        if self.is_silent.load(Ordering::SeqCst) {
            return std::future::pending().boxed_local();
        }
        let mut entries = self.entries.lock();
        let exists = |key: &str| entries.iter().any(|entry| entry.key == key);
        if write.conditions.iter().any(|condition| exists(&condition.key)) {
            return async { Ok(Outcome::Conflict) }.boxed_local();
        }
        let is_put = |key: &str| write.puts.iter().any(|put| put.key == key);
        entries.retain(|entry| !write.removes.contains(&entry.key) && !is_put(&entry.key));
        let puts = write.puts.iter().cloned();
        let version = self.version();
        entries.extend(puts.map(|put| Entry { key: put.key, value: put.value, version }));
        async move { Ok(Outcome::Written(version)) }.boxed_local()
    }

    fn watch<'a>(&'a self, _: &'a str, _: u64) -> LocalBoxFuture<'a, Result<Option<Entry>, Error>> {
        std::future::pending().boxed_local()
    }

    fn grant(&self, _: u64) -> LocalBoxFuture<'_, Result<Lease, Error>> {
        async { Ok(1) }.boxed_local()
    }

    fn renew(&self, _: Lease) -> LocalBoxFuture<'_, Result<bool, Error>> {
        let is_valid = !self.has_lapsed.swap(false, Ordering::SeqCst);
        async move { Ok(is_valid) }.boxed_local()
    }
}
