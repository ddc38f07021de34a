//! Calls that wait until something changes.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::key_value::fault::Fault;
use crate::key_value::message::Events;
use crate::key_value::message::WatchQuery;
use crate::key_value::service::Service;

/// The longest wait, in milliseconds.
const WAIT_MS: u64 = 30_000;

/// An open watch, counted until it is dropped.
pub(crate) struct Watch {
    service: Arc<Service>,
    query: WatchQuery,
}

impl Watch {
    pub(crate) fn open(service: &Arc<Service>, query: WatchQuery) -> Watch {
        let mut state = service.state.lock();
        state.counts.watches_open += 1;
        state.counts.watches_opened += 1;
        drop(state);
        Watch { service: Arc::clone(service), query }
    }

    /// The events once there are any, none at the end of the wait; `None` means
    /// that the watch is cut without an answer.
    pub(crate) async fn answer(&self) -> Option<Result<Events, Fault>> {
        let wait = Duration::from_millis(self.query.wait_ms.min(WAIT_MS));
        let deadline = Instant::now() + wait;
        let restores = self.service.state.lock().restores;
        let mut changed = self.service.changed.subscribe();
        let mut faults = self.service.faults.subscribe();
        loop {
            let is_away = {
                let faults = faults.borrow_and_update();
                faults.outage || faults.cut_watches
            };
            if is_away || self.service.state.lock().restores != restores {
                return None;
            }
            changed.mark_unchanged();
            match self.look() {
                Ok(found) if found.events.is_empty() && Instant::now() < deadline => {
                    tokio::select! {
                        _ = changed.changed() => {}
                        _ = faults.changed() => {}
                        () = sleep_until(deadline) => {}
                    }
                }
                other => return Some(other),
            }
        }
    }

    fn look(&self) -> Result<Events, Fault> {
        let state = self.service.state.lock();
        let as_of = state.store.revision();
        let events = state.store.events(&self.query.prefix, self.query.after)?;
        drop(state);
        let events = events.into_iter().filter(|_| !self.service.loses_event()).collect();
        Ok(Events { events, as_of })
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.service.state.lock().counts.watches_open -= 1;
    }
}
