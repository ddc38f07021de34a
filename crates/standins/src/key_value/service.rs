//! The service: store, leases, limits and counts under one lock.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::key_value::Counts;
use crate::key_value::Faults;
use crate::key_value::Options;
use crate::key_value::fault::Fault;
use crate::key_value::lease::Leases;
use crate::key_value::message::Revision;
use crate::key_value::store::Store;
use crate::limiter::Limiter;

/// Whether a call reads or writes, which have limits of their own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Access {
    Read,
    Write,
}

/// The key-value service, shared by its routes and watches.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) faults: watch::Sender<Faults>,
    pub(crate) changed: watch::Sender<()>,
    pub(crate) state: Mutex<State>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) store: Store,
    pub(crate) leases: Leases,
    pub(crate) counts: Counts,
    pub(crate) restores: u64,
    reads: Limiter,
    writes: Limiter,
}

impl Service {
    pub(crate) fn new(options: Options) -> Arc<Self> {
        let state = State {
            store: Store::new(),
            leases: Leases::default(),
            counts: Counts::default(),
            restores: 0,
            reads: Limiter::new(options.reads_per_second),
            writes: Limiter::new(options.writes_per_second),
        };
        Arc::new(Self {
            faults: watch::Sender::default(),
            changed: watch::Sender::default(),
            state: Mutex::new(state),
        })
    }

    /// Lets a call in, late if so set, or refuses it.
    pub(crate) async fn admit(&self, access: Access) -> Result<(), Fault> {
        let faults = self.faults.borrow().clone();
        if faults.outage {
            return Err(Fault::Outage);
        }
        self.state.lock().count(access)?;
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        Ok(())
    }

    /// Whether the answer to this write is to be lost.
    pub(crate) fn loses_answer(&self) -> bool {
        self.take_fault(|faults| &mut faults.lose_answers)
    }

    /// Whether the watch event at hand is to be lost.
    pub(crate) fn loses_event(&self) -> bool {
        self.take_fault(|faults| &mut faults.lose_watch_events)
    }

    /// Removes the keys of expired leases.
    pub(crate) fn expire(&self) {
        let mut state = self.state.lock();
        let late = state.leases.expired();
        for id in &late {
            state.store.remove_leased(*id);
        }
        drop(state);
        if !late.is_empty() {
            self.changed.send_replace(());
        }
    }

    fn take_fault(&self, field: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut taken = false;
        self.faults.send_if_modified(|faults| {
            let left = field(faults);
            taken = *left > 0;
            *left = left.saturating_sub(1);
            false
        });
        taken
    }
}

impl State {
    /// Goes back to an old revision, which cuts the watches that are open.
    pub(crate) fn restore(&mut self, revision: Revision) {
        self.store.restore(revision);
        self.restores += 1;
    }

    fn count(&mut self, access: Access) -> Result<(), Fault> {
        let admitted = match access {
            Access::Read => self.reads.try_acquire(),
            Access::Write => self.writes.try_acquire(),
        };
        match access {
            _ if !admitted => self.counts.limited += 1,
            Access::Read => self.counts.reads += 1,
            Access::Write => self.counts.writes += 1,
        }
        if admitted { Ok(()) } else { Err(Fault::Limited) }
    }
}
