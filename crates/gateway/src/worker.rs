//! What the requests of one worker thread share.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use link::Pool;
use parking_lot::Mutex;
use policy::retry::Share;
use tokio::time::Instant;

use crate::Context;
use crate::connections::Connections;
use crate::request::Request;

/// What the requests of one worker thread share.
pub(crate) struct Worker {
    pub(crate) context: Context,
    pub(crate) pool: Pool,
    pub(crate) connections: Connections,
    /// Once the process stops, the time after which no answer is given any more.
    ends: Cell<Option<Instant>>,
    /// Retries by service, sorted.
    retries: Mutex<Vec<(Arc<str>, Share)>>,
}

impl Worker {
    pub(crate) fn new(context: Context) -> Worker {
        Worker {
            context,
            pool: Pool::default(),
            connections: Connections::default(),
            ends: Cell::new(None),
            retries: Mutex::default(),
        }
    }

    /// Closes idle connections, and lets no request begin that may outlast the
    /// process; says how many connections it closed.
    pub(crate) fn drain(&self) -> usize {
        self.ends.set(Some(Instant::now() + self.context.stop_grace));
        self.connections.close_idle(Duration::ZERO)
    }

    /// Whether a request may be answered after the process has ended.
    pub(crate) fn may_outlast(&self, request: &Request) -> bool {
        self.ends.get().is_some_and(|ends| request.deadline > ends)
    }

    /// Counts a first attempt at a service.
    pub(crate) fn earn_retry(&self, service: &Arc<str>) {
        self.with_share(service, Share::earn);
    }

    /// Spends one retry at a service; says whether there was one.
    pub(crate) fn spend_retry(&self, service: &Arc<str>) -> bool {
        self.with_share(service, Share::spend)
    }

    fn with_share<T>(&self, service: &Arc<str>, change: impl FnOnce(&mut Share) -> T) -> T {
        let context = &self.context;
        let processes = context.knowledge.gateways().max(context.processes);
        let mut retries = self.retries.lock();
        let index = match retries.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let share = Share::new(context.retry_ratio, context.retry_slack, processes);
                retries.insert(index, (Arc::clone(service), share));
                index
            }
        };
        let share = &mut retries[index].1;
        share.share_among(context.retry_slack, processes);
        change(share)
    }
}
