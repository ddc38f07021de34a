//! A key-value store in memory whose commits fail as scripted.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use services::Store;
use services::store::Commit;
use services::store::Entry;
use services::store::Error;
use services::store::Lease;
use services::store::Outcome;

/// The fault of one commit.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// It takes effect, but its answer is lost.
    Lost,
    /// It is lost on the way to the store and takes no effect.
    Dropped,
    /// The store can't be reached.
    Down,
}

/// An in-memory store whose leases never expire.
#[derive(Default)]
pub struct Memory {
    pub faults: RefCell<VecDeque<Option<Fault>>>,
    pub commits: Cell<u32>,
    pub grants: Cell<u32>,
    version: Cell<u64>,
    entries: RefCell<BTreeMap<String, (u64, Vec<u8>)>>,
}

impl Memory {
    fn apply(&self, write: &Commit) -> Outcome {
        let mut entries = self.entries.borrow_mut();
        let version = |key: &str| entries.get(key).map_or(0, |(version, _)| *version);
        if write.conditions.iter().any(|condition| version(&condition.key) != condition.version) {
            return Outcome::Conflict;
        }
        self.version.set(self.version.get() + 1);
        for put in &write.puts {
            entries.insert(put.key.clone(), (self.version.get(), put.value.clone()));
        }
        for key in &write.removes {
            entries.remove(key);
        }
        Outcome::Written(self.version.get())
    }

    fn try_commit(&self, write: &Commit) -> Result<Outcome, Error> {
        self.commits.set(self.commits.get() + 1);
        let lost = || Error::Lost("scripted".to_owned());
        match self.faults.borrow_mut().pop_front().flatten() {
            None => Ok(self.apply(write)),
            Some(Fault::Lost) => {
                self.apply(write);
                Err(lost())
            }
            Some(Fault::Dropped) => Err(lost()),
            Some(Fault::Down) => Err(Error::Down("scripted".to_owned())),
        }
    }
}

impl Store for Memory {
    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Entry>, Error>> {
        let entries = self.entries.borrow();
        let found = entries.get(key).map(|(version, value)| Entry {
            key: key.to_owned(),
            value: value.clone(),
            version: *version,
        });
        async { Ok(found) }.boxed_local()
    }

    fn list<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Result<Vec<Entry>, Error>> {
        async { Ok(Vec::new()) }.boxed_local()
    }

    fn commit<'a>(&'a self, write: &'a Commit) -> LocalBoxFuture<'a, Result<Outcome, Error>> {
        async {
            // Lets another attempt run between the call and its answer.
            tokio::task::yield_now().await;
            self.try_commit(write)
        }
        .boxed_local()
    }

    fn watch<'a>(&'a self, _: &'a str, _: u64) -> LocalBoxFuture<'a, Result<Option<Entry>, Error>> {
        std::future::pending().boxed_local()
    }

    fn grant(&self, _: u64) -> LocalBoxFuture<'_, Result<Lease, Error>> {
        self.grants.set(self.grants.get() + 1);
        async { Ok(1) }.boxed_local()
    }

    fn renew(&self, _: Lease) -> LocalBoxFuture<'_, Result<bool, Error>> {
        async { Ok(true) }.boxed_local()
    }
}
