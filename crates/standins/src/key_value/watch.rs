//! Watches: calls that wait for a change (long polling).

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::key_value::error::Error;
use crate::key_value::message::Events;
use crate::key_value::message::WatchQuery;
use crate::key_value::service::Service;

/// Longest wait of a watch in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

/// An open watch, which counts as open until it is dropped.
pub(crate) struct Watch {
    service: Arc<Service>,
    query: WatchQuery,
}

impl Watch {
    /// Opens a watch and counts it.
    pub(crate) fn open(service: &Arc<Service>, query: WatchQuery) -> Watch {
        let mut state = service.state.lock();
        state.counts.watches_open += 1;
        state.counts.watches_opened += 1;
        drop(state);
        Watch { service: Arc::clone(service), query }
    }

    /// Waits for events and returns them, or an empty list at the end of the wait.
    /// `None` means that a fault or a restore ends the watch without an answer.
    pub(crate) async fn wait(&self) -> Option<Result<Events, Error>> {
        let wait = Duration::from_millis(self.query.wait_ms.min(MAX_WAIT_MS));
        let deadline = Instant::now() + wait;
        let restores = self.service.state.lock().restores;
        let mut changes = self.service.changes.subscribe();
        let mut faults = self.service.faults.subscribe();
        loop {
            let is_cut = {
                let faults = faults.borrow_and_update();
                faults.outage || faults.cut_watches
            };
            if is_cut || self.service.state.lock().restores != restores {
                return None;
            }
            changes.mark_unchanged();
            match self.poll() {
                Ok(found) if found.events.is_empty() && Instant::now() < deadline => {
                    tokio::select! {
                        _ = changes.changed() => {}
                        _ = faults.changed() => {}
                        () = sleep_until(deadline) => {}
                    }
                }
                other => return Some(other),
            }
        }
    }

    /// Returns the events that there are now, without those to be lost.
    fn poll(&self) -> Result<Events, Error> {
        let state = self.service.state.lock();
        let as_of = state.store.revision();
        let events = state.store.events(&self.query.prefix, self.query.after)?;
        drop(state);
        let events = events.into_iter().filter(|_| !self.service.take_lost_event()).collect();
        Ok(Events { events, as_of })
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.service.state.lock().counts.watches_open -= 1;
    }
}
