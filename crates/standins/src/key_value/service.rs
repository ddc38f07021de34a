//! The state of the key-value service.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::key_value::Counts;
use crate::key_value::Faults;
use crate::key_value::Options;
use crate::key_value::error::Error;
use crate::key_value::lease::Leases;
use crate::key_value::message::LeaseId;
use crate::key_value::message::Revision;
use crate::key_value::store::Store;
use crate::limiter::Limiter;

/// The kind of a call; each kind has a rate limit of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Access {
    Read,
    Write,
}

/// The key-value service, shared by its routes and watches.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) faults: watch::Sender<Faults>,
    /// Notifies the open watches of changes.
    pub(crate) changes: watch::Sender<()>,
    pub(crate) state: Mutex<State>,
}

/// The mutable state of the service, under one lock.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) store: Store,
    pub(crate) leases: Leases,
    pub(crate) counts: Counts,
    /// Number of restores so far; a watch ends when it grows.
    pub(crate) restores: u64,
    read_limiter: Limiter,
    write_limiter: Limiter,
}

impl Service {
    /// Creates an empty service without faults.
    pub(crate) fn new(options: Options) -> Arc<Self> {
        let state = State {
            store: Store::new(),
            leases: Leases::default(),
            counts: Counts::default(),
            restores: 0,
            read_limiter: Limiter::new(options.reads_per_second),
            write_limiter: Limiter::new(options.writes_per_second),
        };
        Arc::new(Self {
            faults: watch::Sender::default(),
            changes: watch::Sender::default(),
            state: Mutex::new(state),
        })
    }

    /// Admits a call after the injected delay. Refuses it in an outage or beyond
    /// its rate limit.
    pub(crate) async fn admit(&self, access: Access) -> Result<(), Error> {
        let faults = self.faults.borrow().clone();
        if faults.outage {
            return Err(Error::Unavailable);
        }
        self.state.lock().count_call(access)?;
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        Ok(())
    }

    /// Uses up one of `Faults::lose_answers`; returns false if there is none.
    pub(crate) fn take_lost_answer(&self) -> bool {
        self.take_fault(|faults| &mut faults.lose_answers)
    }

    /// Uses up one of `Faults::lose_watch_events`; returns false if there is
    /// none.
    pub(crate) fn take_lost_event(&self) -> bool {
        self.take_fault(|faults| &mut faults.lose_watch_events)
    }

    /// Removes the expired leases and their keys.
    pub(crate) fn remove_expired(&self) {
        self.remove_leases(Leases::take_expired);
    }

    /// Removes all leases and their keys.
    pub(crate) fn end_leases(&self) {
        self.remove_leases(Leases::take_all);
    }

    fn remove_leases(&self, take: impl FnOnce(&mut Leases) -> Vec<LeaseId>) {
        let mut state = self.state.lock();
        let expired = take(&mut state.leases);
        for id in &expired {
            state.store.remove_leased(*id);
        }
        drop(state);
        if !expired.is_empty() {
            self.changes.send_replace(());
        }
    }

    /// Decrements a counter of faults; returns false if it was 0.
    fn take_fault(&self, field: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut taken = false;
        self.faults.send_if_modified(|faults| {
            let remaining = field(faults);
            taken = *remaining > 0;
            *remaining = remaining.saturating_sub(1);
            false
        });
        taken
    }
}

impl State {
    /// Restores keys and leases at an old revision and makes open watches end without an answer.
    pub(crate) fn restore(&mut self, revision: Revision) {
        self.store.restore(revision);
        self.leases.restore(revision);
        self.restores += 1;
    }

    /// Counts a call as admitted, or refuses it beyond its rate limit.
    fn count_call(&mut self, access: Access) -> Result<(), Error> {
        let admitted = match access {
            Access::Read => self.read_limiter.try_acquire(),
            Access::Write => self.write_limiter.try_acquire(),
        };
        match access {
            _ if !admitted => self.counts.limited += 1,
            Access::Read => self.counts.reads += 1,
            Access::Write => self.counts.writes += 1,
        }
        if admitted { Ok(()) } else { Err(Error::RateLimited) }
    }
}
