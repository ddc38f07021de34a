//! State of one worker thread.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use link::Pool;
use parking_lot::Mutex;
use policy::retry::Share;
use tokio::time::Instant;

use crate::Context;
use crate::connections::Connections;
use crate::memory::Memory;
use crate::request::Request;

/// Longest time for which a client may do nothing while three quarters of the connections are taken. A
/// gateway that is ready has to take new ones within three seconds.
const CROWDED_PATIENCE: Duration = Duration::from_millis(1_500);

/// State that the requests of one worker thread share.
pub(crate) struct Worker {
    pub(crate) context: Context,
    pub(crate) pool: Pool,
    pub(crate) connections: Connections,
    /// Memory that bodies of requests and responses take.
    pub(crate) memory: Memory,
    /// Set when the process is draining: the time after which no response is sent any more.
    drain_deadline: Cell<Option<Instant>>,
    /// Retry budgets, sorted by service.
    retries: Mutex<Vec<(Arc<str>, Share)>>,
}

impl Worker {
    /// Creates the state of a worker that has no connections yet.
    pub(crate) fn new(context: Context) -> Worker {
        let memory = Memory::new(context.limits.memory);
        Worker {
            context,
            pool: Pool::default(),
            connections: Connections::default(),
            memory,
            drain_deadline: Cell::new(None),
            retries: Mutex::default(),
        }
    }

    /// Starts to drain: closes idle connections, and from now on only requests that end before
    /// the process does may start. Returns the number of closed connections.
    pub(crate) fn drain(&self) -> usize {
        self.drain_deadline.set(Some(Instant::now() + self.context.stop_grace));
        self.connections.close_idle(Duration::ZERO)
    }

    /// Returns for how long a client may do nothing on its connection, of which a longest time is given. It
    /// is shorter while most connections are taken: those of such clients would keep new ones out.
    pub(crate) fn patience(&self, longest: Duration) -> Duration {
        let is_crowded = self.connections.len() >= self.context.limits.connections / 4 * 3;
        if is_crowded { longest.min(CROWDED_PATIENCE) } else { longest }
    }

    /// Whether the process is draining and may end before the deadline of a request.
    pub(crate) fn is_too_late_for(&self, request: &Request) -> bool {
        self.drain_deadline.get().is_some_and(|deadline| request.deadline > deadline)
    }

    /// Credits the retry budget of a service with the share of a retry that the first attempt
    /// of a request earns.
    pub(crate) fn earn_retry(&self, service: &Arc<str>) {
        self.with_share(service, Share::earn);
    }

    /// Spends one retry of a service's budget. Returns whether there was one left.
    pub(crate) fn spend_retry(&self, service: &Arc<str>) -> bool {
        self.with_share(service, Share::spend)
    }

    /// Whether a service's budget has a retry left.
    pub(crate) fn has_retry(&self, service: &Arc<str>) -> bool {
        self.with_share(service, |share| share.has_retry())
    }

    /// Changes the retry budget of a service, after adjusting it to the number of gateways.
    fn with_share<T>(&self, service: &Arc<str>, change: impl FnOnce(&mut Share) -> T) -> T {
        let context = &self.context;
        let gateways = context.routing.gateways().max(context.min_gateways);
        let mut retries = self.retries.lock();
        let index = match retries.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let share = Share::new(context.retry_ratio, context.retry_slack, gateways);
                retries.insert(index, (Arc::clone(service), share));
                index
            }
        };
        let share = &mut retries[index].1;
        share.share_among(context.retry_slack, gateways);
        change(share)
    }
}
