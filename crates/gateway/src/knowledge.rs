//! What a gateway knows of configuration and endpoints.
//!
//! Lock order: `table`, then `fleet`. No lock is held across an await.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use parking_lot::RwLock;
use route::Endpoint;
use route::Table;
use route::reply::Load;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::wish::Choice;
use crate::wish::Wish;

/// What a gateway knows, shared by all of its tasks.
#[derive(Debug)]
pub struct Knowledge {
    start: Instant,
    table: RwLock<Arc<Table>>,
    fleet: Mutex<Fleet>,
    /// Gateways that are registered, this one too; 0 where none are known yet.
    gateways: AtomicU32,
}

impl Default for Knowledge {
    fn default() -> Knowledge {
        Knowledge {
            start: Instant::now(),
            table: RwLock::default(),
            fleet: Mutex::default(),
            gateways: AtomicU32::default(),
        }
    }
}

impl Knowledge {
    /// The time since the process started.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The configuration in force; version 0 where none is known yet.
    pub fn table(&self) -> Arc<Table> {
        Arc::clone(&self.table.read())
    }

    /// Whether configuration and endpoints are known.
    pub fn is_complete(&self) -> bool {
        self.table().version() > 0 && self.fleet.lock().is_known()
    }

    /// Gateways that are registered, this one too; 0 where none are known yet.
    pub fn gateways(&self) -> u32 {
        self.gateways.load(Ordering::Relaxed)
    }

    /// Takes in how many gateways are registered.
    pub fn set_gateways(&self, gateways: u32) {
        self.gateways.store(gateways, Ordering::Relaxed);
    }

    /// Waits until configuration and endpoints are known, looking at it so often.
    pub async fn completed(&self, interval: Duration) {
        while !self.is_complete() {
            sleep(interval).await;
        }
    }

    /// Takes in a configuration unless a newer one is in force; says whether it did.
    pub fn set_table(&self, table: Table) -> bool {
        let mut current = self.table.write();
        if table.version() <= current.version() {
            return false;
        }
        *current = Arc::new(table);
        true
    }

    /// Takes in all announcements. Endpoints that are missing are dropped, or after
    /// an outage of the store kept until they had time to return.
    pub fn set_endpoints(&self, endpoints: Vec<Endpoint>, after_outage: bool) {
        self.fleet.lock().set_all(endpoints, after_outage, self.now());
    }

    /// All endpoints that are known, sorted by id.
    pub fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        self.fleet.lock().endpoints()
    }

    /// Takes in one announcement.
    pub fn set_endpoint(&self, endpoint: Endpoint) {
        self.fleet.lock().put(endpoint);
    }

    /// Drops the endpoint of an id at once.
    pub fn drop_endpoint(&self, id: &str) {
        self.fleet.lock().forget(id);
    }

    /// Drops the endpoint of an id; one whose announcement may have lapsed with the
    /// store has time to return.
    pub fn remove_endpoint(&self, id: &str) {
        self.fleet.lock().remove(id, self.now());
    }

    /// Drops endpoints that did not return in time.
    pub fn forget_missing(&self) {
        self.fleet.lock().forget_missing(self.now());
    }

    /// The endpoint that a request is to be sent to; it is counted there until
    /// [`Knowledge::ended`] is called.
    pub(crate) fn choose(&self, wish: &Wish<'_>) -> Option<Choice> {
        self.fleet.lock().choose(wish, self.now())
    }

    /// Counts the end of a request at an endpoint.
    pub(crate) fn ended(&self, id: &str) {
        self.fleet.lock().ended(id);
    }

    /// Takes in an endpoint's load as an answer tells it.
    pub(crate) fn told(&self, id: &str, load: Load) {
        let requests = load.running.saturating_add(load.waiting);
        self.fleet.lock().told(id, requests, self.now());
    }

    /// Takes in that another endpoint has the address of this one.
    pub(crate) fn replaced(&self, id: &str) {
        self.fleet.lock().replaced(id);
    }

    /// Takes in that an endpoint answered a request well, and how long that took.
    pub(crate) fn answered(&self, endpoint: &Endpoint, latency: Duration) {
        let now = self.now();
        self.fleet.lock().outliers(&endpoint.service).record_answer(&endpoint.id, latency, now);
    }

    /// Takes in that an endpoint failed; says whether it is left out for it.
    pub(crate) fn failed(&self, endpoint: &Endpoint) -> bool {
        let now = self.now();
        self.fleet.lock().outliers(&endpoint.service).record_failure(&endpoint.id, now)
    }
}
