//! The configuration in force and the endpoints, shared by all tasks of a gateway.
//!
//! Lock order: `table`, then `endpoints`, then the register of `quarantine`. No lock is held across
//! an await.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use parking_lot::RwLock;
use policy::exchange::Sheet;
use policy::observation::Observations;
use policy::origin::StreamId;
use policy::rate_limit::Usage;
use policy::slow_start::Rules;
use policy::speed::Kind;
use policy::speed::Work;
use rand::RngExt;
use route::Endpoint;
use route::Reply;
use route::Table;
use route::reply::Load;
use route::service::SlowStart;
use services::version::Version;
use tokio::time::sleep;

use crate::criteria::Choice;
use crate::criteria::Criteria;
use crate::directory::Directory;
use crate::endpoints::Endpoints;
use crate::evacuations::Evacuations;
use crate::evacuations::News;
use crate::failures::End;
use crate::options::Options;
use crate::origins::Origins;
use crate::quarantine::Quarantine;
use crate::refusal::Refusal;
use crate::silences::Silences;

/// Gateways among which limits of endpoints are divided while their number isn't known: as many as
/// the largest fleet has that this is designed for.
const MAX_GATEWAYS: u32 = 360;

/// The routing table in force, the known endpoints and the number of gateways, shared by all
/// tasks of a gateway.
#[derive(Debug)]
pub struct Routing {
    start: Instant,
    options: Options,
    table: RwLock<Arc<Table>>,
    endpoints: Mutex<Endpoints>,
    quarantine: Quarantine,
    origins: Origins,
    silences: Silences,
    /// Number of registered gateways, including this one; 0 while it is not known.
    gateways: AtomicU32,
    /// Number of announced starts of endpoints that replaced others.
    restarts: AtomicU64,
}

impl Default for Routing {
    fn default() -> Routing {
        Routing::new(Options::default())
    }
}

impl Routing {
    /// Creates a value without a configuration and endpoints.
    pub fn new(options: Options) -> Routing {
        Routing {
            start: Instant::now(),
            options,
            table: RwLock::default(),
            endpoints: Mutex::new(Endpoints::new(rand::rng().random(), options)),
            quarantine: Quarantine::default(),
            origins: Origins::default(),
            silences: Silences::new(options.abandons_silent),
            gateways: AtomicU32::default(),
            restarts: AtomicU64::default(),
        }
    }

    /// Returns the time since this value was created. All times of endpoints, locations and the
    /// [`crate::Mirror`] are given by this clock.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the routing table in force; its version is 0 while none is known.
    pub fn table(&self) -> Arc<Table> {
        Arc::clone(&self.table.read())
    }

    /// Whether both the configuration and the endpoints are known.
    pub fn is_complete(&self) -> bool {
        self.table().version() > 0 && self.endpoints.lock().directory.is_loaded()
    }

    /// Returns the number of registered gateways, including this one; 0 while it is not known.
    pub fn gateways(&self) -> u32 {
        self.gateways.load(Ordering::Relaxed)
    }

    /// Sets the number of registered gateways, including this one.
    pub fn set_gateways(&self, gateways: u32) {
        self.gateways.store(gateways, Ordering::Relaxed);
    }

    /// Returns how many starts of endpoints were announced that replaced others.
    pub(crate) fn restarts(&self) -> u64 {
        self.restarts.load(Ordering::Relaxed)
    }

    /// Waits until both the configuration and the endpoints are known; checks at this interval.
    pub async fn wait_until_complete(&self, interval: Duration) {
        while !self.is_complete() {
            sleep(interval).await;
        }
    }

    /// Puts a routing table in force unless the present one is as new or newer. Returns whether
    /// it did.
    pub fn set_table(&self, table: Table) -> bool {
        let mut current = self.table.write();
        if table.version() <= current.version() {
            return false;
        }
        *current = Arc::new(table);
        true
    }

    /// Replaces all endpoints by the announced ones, as read after a number of restores of the
    /// store. After an outage or a restore, endpoints without an announcement are kept until they
    /// had time to announce themselves again.
    pub fn set_endpoints(&self, endpoints: Vec<Endpoint>, restores: u64, after_outage: bool) {
        let mut known = self.endpoints.lock();
        let endpoints = known.directory.without_outdated(endpoints, restores, self.now());
        endpoints.iter().for_each(|endpoint| self.record_ended(&known, endpoint));
        known.directory.set_all(endpoints, restores, after_outage, self.now());
        self.restarts.store(known.directory.restarts, Ordering::Relaxed);
        self.origins.changed.notify_one();
    }

    /// Returns all known endpoints, sorted by id.
    pub fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        self.endpoints.lock().directory.endpoints()
    }

    /// Adds or updates an announced endpoint.
    pub fn set_endpoint(&self, endpoint: Endpoint) {
        let mut endpoints = self.endpoints.lock();
        self.record_ended(&endpoints, &endpoint);
        endpoints.directory.put(endpoint, self.now());
        self.restarts.store(endpoints.directory.restarts, Ordering::Relaxed);
        self.origins.changed.notify_one();
    }

    /// Returns the requests that have crashed endpoints.
    pub(crate) fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns which versions began streams.
    pub(crate) fn origins(&self) -> &Origins {
        &self.origins
    }

    /// Returns how long endpoints usually take.
    pub(crate) fn silences(&self) -> &Silences {
        &self.silences
    }

    /// Returns the version that began a stream of a service; `None` if that can't be found out
    /// before the deadline.
    pub(crate) async fn find_version(
        &self,
        service: &str,
        stream: Option<StreamId>,
        deadline: tokio::time::Instant,
    ) -> Option<Arc<str>> {
        let history = || (self.endpoints.lock().directory.history(), self.now());
        self.origins.find(service, stream, deadline, history).await
    }

    /// Records that the endpoints that were known at the address of an announced one have ended.
    fn record_ended(&self, known: &Endpoints, announced: &Endpoint) {
        for ended in known.directory.ended_before(announced) {
            self.record_crash(&ended);
        }
    }

    /// Removes an endpoint at once.
    pub fn remove_endpoint_now(&self, id: &str) {
        self.endpoints.lock().directory.remove_now(id, self.now());
    }

    /// Removes an endpoint whose announcement was removed. Shortly after an outage of the store
    /// the endpoint is kept until it had time to announce itself again.
    pub fn remove_endpoint(&self, id: &str) {
        self.endpoints.lock().directory.remove(id, self.now());
    }

    /// Removes endpoints that did not announce themselves again in time.
    pub fn remove_missing(&self) {
        self.endpoints.lock().directory.remove_missing(self.now());
    }

    /// Applies news of evacuations that the store gave some time ago, at a version of it.
    pub fn update_evacuations(&self, news: News, version: Version, age: Duration) {
        let now = self.now();
        let apply = |it: &mut Evacuations| it.apply(news, version, age, now);
        self.endpoints.lock().directory.evacuate(apply, now);
    }

    /// Returns the evacuated data centres, sorted.
    pub fn evacuated(&self) -> Vec<Arc<str>> {
        self.endpoints.lock().directory.evacuations.centres()
    }

    /// Whether evacuations alone keep all requests with these criteria from being sent.
    pub(crate) fn is_evacuated(&self, criteria: &Criteria<'_>) -> bool {
        self.endpoints.lock().directory.is_evacuated(criteria)
    }

    /// Chooses the endpoint of a request, and counts the request as in flight there until
    /// [`Routing::request_ended`] is called.
    pub(crate) fn choose(&self, criteria: &Criteria<'_>) -> Option<Choice> {
        let gateways = match self.gateways() {
            0 => MAX_GATEWAYS,
            registered => registered,
        };
        let slow_start = self.slow_start(criteria.service);
        self.endpoints.lock().choose(criteria, gateways, slow_start.as_ref(), self.now())
    }

    /// Returns the rules of a service's slow start, if it has one.
    fn slow_start(&self, service: &str) -> Option<Rules> {
        let bounds = self.options.slow_start?;
        let SlowStart { per_s, time } = self.table().service(service)?.slow_start?;
        Some(Rules { per_s, time, bounds })
    }

    /// Whether there is an endpoint that a request with these criteria could be sent to now.
    pub(crate) fn can_choose(&self, criteria: &Criteria<'_>) -> bool {
        self.endpoints.lock().selection(0.0).best(criteria, self.now()).is_some()
    }

    /// Records the end of a request at an endpoint.
    pub(crate) fn request_ended(&self, id: &str) {
        self.endpoints.lock().request_ended(id);
    }

    /// Records the load that an endpoint reported with a response.
    pub(crate) fn record_load(&self, id: &str, load: Load) {
        let requests = load.running.saturating_add(load.waiting);
        self.endpoints.lock().record_load(id, requests, self.now());
    }

    /// Records the limit that an endpoint named with a response, in requests per second from all
    /// gateways together; `None` if it named none.
    pub(crate) fn record_max_rate(&self, id: &str, max_rate: Option<f64>) {
        self.endpoints.lock().record_max_rate(id, max_rate, self.now());
    }

    /// Returns the refusal of a request if only limits of endpoints, or their slow start, keep it from
    /// being sent now, and counts its client among those that come back.
    pub(crate) fn limited(&self, criteria: &Criteria<'_>) -> Option<Refusal> {
        self.endpoints.lock().limited(criteria, self.now())
    }

    /// Records what a response of an endpoint says of it.
    pub(crate) fn record_notice(&self, endpoint: &Endpoint, reply: &Reply) {
        self.endpoints.lock().record_notice(endpoint, reply, self.now());
    }

    /// Returns after which time a request with these criteria may be sent, if all endpoints want no
    /// requests until then.
    pub(crate) fn paused_for(&self, criteria: &Criteria<'_>) -> Option<Duration> {
        self.endpoints.lock().paused_for(criteria)
    }

    /// Returns what this gateway tells others of its requests at limited endpoints.
    pub(crate) fn own_usage(&self) -> Usage {
        self.endpoints.lock().own_usage(self.now())
    }

    /// Records the requests of other gateways at limited endpoints, and the number of these
    /// gateways.
    pub(crate) fn set_other_usage(&self, usage: &Usage, gateways: u32) {
        self.endpoints.lock().set_other_usage(usage, gateways, self.now());
    }

    /// Returns what this gateway has observed of endpoints.
    pub(crate) fn own_observations(&self) -> Observations {
        self.endpoints.lock().own_observations(self.now())
    }

    /// Records what the other gateways have observed of endpoints, and the number of these
    /// gateways.
    pub(crate) fn set_other_observations(&self, observations: &Observations, gateways: u32) {
        self.endpoints.lock().set_other_observations(observations, gateways, self.now());
    }

    /// Returns the requests that this gateway has in flight at endpoints.
    pub(crate) fn own_loads(&self) -> Sheet {
        self.endpoints.lock().own_loads()
    }

    /// Sets the requests that other gateways have at endpoints, and the number of these gateways.
    ///
    /// Loads of few gateways are ignored: endpoints would look idle that are not.
    pub(crate) fn set_other_loads(&self, loads: &Sheet, gateways: u32) {
        let others = self.gateways().saturating_sub(1);
        if gateways.saturating_mul(2) < others {
            log::debug!(gateways, others; "loads of too few gateways are known");
            return;
        }
        self.endpoints.lock().set_other_loads(loads, self.now());
    }

    /// Records that an endpoint has crashed, if requests broke off there.
    pub(crate) fn record_crash(&self, endpoint: &Endpoint) {
        self.quarantine.confirm(endpoint, self.now());
    }

    /// Records how long an endpoint took for work, with the requests that it had at the beginning. It
    /// is compared with work at as many requests as the endpoint had on average.
    pub(crate) fn record_time(&self, endpoint: &Endpoint, work: Work, took: Duration) {
        if self.options.learns_speed {
            let (now, mut endpoints) = (self.now(), self.endpoints.lock());
            // The request itself is still in flight.
            let others = endpoints.requests(&endpoint.id, now).saturating_sub(1);
            let work = Work { requests: work.requests.midpoint(others), ..work };
            endpoints.speeds.record(endpoint, work, took, now);
        }
    }

    /// Records the mean pause between pieces of a stream.
    pub(crate) fn record_pause(&self, endpoint: &Endpoint, pause: Duration) {
        if self.options.learns_speed {
            let (now, mut endpoints) = (self.now(), self.endpoints.lock());
            let requests = endpoints.requests(&endpoint.id, now);
            let work = Work { kind: Kind::Pause, class: 0, tokens: 0, requests };
            endpoints.speeds.record(endpoint, work, pause, now);
        }
    }

    /// Reads or changes what is known of single endpoints, at the present time.
    pub(crate) fn with_directory<T>(
        &self,
        change: impl FnOnce(&mut Directory, Duration) -> T,
    ) -> T {
        change(&mut self.endpoints.lock().directory, self.now())
    }

    /// Records a successful response of an endpoint and its latency.
    pub(crate) fn record_success(&self, endpoint: &Endpoint, latency: Duration) {
        let now = self.now();
        let mut endpoints = self.endpoints.lock();
        endpoints.record_end(endpoint, End::Answered, now);
        endpoints.outliers(&endpoint.service).record_answer(&endpoint.id, latency, now);
    }

    /// Records a failure of an endpoint. Returns whether the endpoint is ejected for it.
    pub(crate) fn record_failure(&self, endpoint: &Endpoint) -> bool {
        self.record_bad_end(endpoint, End::Failed)
    }

    /// Records that a stream broke off after [`Routing::record_success`] was called for it.
    pub(crate) fn record_broken_stream(&self, endpoint: &Endpoint) {
        self.record_bad_end(endpoint, End::Broken);
    }

    /// Records that an endpoint has sent nothing to a request for long. That is no ground to eject
    /// it, as the request may be one that takes long.
    pub(crate) fn record_silence(&self, endpoint: &Endpoint) {
        self.endpoints.lock().record_end(endpoint, End::Failed, self.now());
    }

    fn record_bad_end(&self, endpoint: &Endpoint, end: End) -> bool {
        let now = self.now();
        let mut endpoints = self.endpoints.lock();
        endpoints.record_end(endpoint, end, now);
        endpoints.outliers(&endpoint.service).record_failure(&endpoint.id, now)
    }
}
