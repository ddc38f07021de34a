//! The tables of the blackboard and access to them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use burn::Ledger;
use burn::Sheet;
use burn::count::Outcome;
use config::Document;
use parking_lot::Mutex;
use parking_lot::RwLock;
use policy::mean;
use policy::roster;
use tokio::sync::watch;
use wire::Load;
use wire::Member;
use wire::Stamp;
use wire::id;
use wire::member::State;

use crate::Identity;

/// The state of one process that its workers and controllers share.
#[derive(Debug)]
pub struct Board {
    identity: Identity,
    start: Instant,
    document: RwLock<Arc<Document>>,
    roster: RwLock<roster::Roster>,
    mean: RwLock<mean::Estimate>,
    ledger: Mutex<Ledger>,
    revision: watch::Sender<id::Revision>,
}

impl Board {
    /// Returns a board whose only member is its own process, in state `Starting`.
    pub fn new(identity: Identity) -> Board {
        let own = Member {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
            version: 0,
            role: identity.role,
            centre: identity.centre.clone(),
            region: identity.region.clone(),
            data: identity.data,
            control: identity.control,
            state: State::Starting,
            revision: 0,
            holds: Vec::new(),
            load: Load::default(),
        };
        Board {
            identity,
            start: Instant::now(),
            document: RwLock::default(),
            roster: RwLock::new(roster::Roster::new(own)),
            mean: RwLock::default(),
            ledger: Mutex::default(),
            revision: watch::Sender::new(0),
        }
    }

    /// Returns the identity of the process.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the time since the board was created at the start of the process: the
    /// clock of all decisions in `policy`.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the stamp for a message sent now.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            revision: self.revision(),
        }
    }

    /// Returns the configuration in force; its revision is 0 before the first is applied.
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.document.read())
    }

    /// Returns the revision of the configuration in force.
    pub fn revision(&self) -> id::Revision {
        self.document.read().revision
    }

    /// Puts a configuration in force if its revision is higher; returns whether it was.
    pub fn apply(&self, document: Document) -> bool {
        let revision = document.revision;
        {
            let mut current = self.document.write();
            if revision <= current.revision {
                return false;
            }
            *current = Arc::new(document);
        }
        self.roster.write().update_own(|own| own.revision = revision);
        self.revision.send_if_modified(|seen| {
            let is_newer = revision > *seen;
            *seen = (*seen).max(revision);
            is_newer
        });
        true
    }

    /// Returns a receiver that is notified of each newer revision in force.
    pub fn revisions(&self) -> watch::Receiver<id::Revision> {
        self.revision.subscribe()
    }

    /// Calls `read` with the roster of members, under its read lock.
    pub fn with_roster<T>(&self, read: impl FnOnce(&roster::Roster) -> T) -> T {
        read(&self.roster.read())
    }

    /// Calls `write` with the roster of members, under its write lock.
    pub fn update_roster<T>(&self, write: impl FnOnce(&mut roster::Roster) -> T) -> T {
        write(&mut self.roster.write())
    }

    /// Calls `write` with the estimate of the fleet's mean load, under its write lock.
    pub fn update_mean<T>(&self, write: impl FnOnce(&mut mean::Estimate) -> T) -> T {
        write(&mut self.mean.write())
    }

    /// Returns the current estimate of the fleet's mean load, if there is one.
    pub fn mean(&self) -> Option<wire::Mean> {
        let now = self.now();
        self.mean.read().mean(now)
    }

    /// Counts the outcome of a request in the current minute.
    pub fn record(&self, service: &str, account: &str, outcome: Outcome) {
        self.ledger.lock().record(minute(), service, account, outcome);
    }

    /// Returns the outcomes that this process counted in the last hour.
    pub fn sheet(&self) -> Sheet {
        let stamp = self.stamp();
        Sheet::new(stamp, &self.ledger.lock(), minute())
    }
}

/// Returns the minutes since the Unix epoch, so that all processes count in the same minutes.
fn minute() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_secs() / 60
}
