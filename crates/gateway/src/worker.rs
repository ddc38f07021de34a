//! What the requests of one worker thread share.

use std::sync::Arc;

use link::Pool;
use parking_lot::Mutex;
use policy::retry::Share;

use crate::Context;
use crate::connections::Connections;

/// What the requests of one worker thread share.
pub(crate) struct Worker {
    pub(crate) context: Context,
    pub(crate) pool: Pool,
    pub(crate) connections: Connections,
    /// Retries by service, sorted.
    retries: Mutex<Vec<(Arc<str>, Share)>>,
}

impl Worker {
    pub(crate) fn new(context: Context) -> Worker {
        Worker {
            context,
            pool: Pool::default(),
            connections: Connections::default(),
            retries: Mutex::default(),
        }
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
        let mut retries = self.retries.lock();
        let index = match retries.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let context = &self.context;
                let share = Share::new(context.retry_ratio, context.retry_slack, context.processes);
                retries.insert(index, (Arc::clone(service), share));
                index
            }
        };
        change(&mut retries[index].1)
    }
}
