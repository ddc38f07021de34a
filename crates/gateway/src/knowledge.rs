//! What a gateway knows of configuration and endpoints.
//!
//! Lock order: `table`, then `fleet`. No lock is held across an await.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use parking_lot::RwLock;
use policy::choice;
use policy::occupancy::Occupancy;
use policy::outlier::Outliers;
use policy::outlier::Verdict;
use policy::placement::Last;
use policy::placement::Places;
use policy::placement::place;
use route::Endpoint;
use route::Part;
use route::Table;
use route::endpoint::State;
use route::reply::Load;

/// An endpoint whose announcement is gone after the store was away is kept this
/// long, since living endpoints announce themselves again within two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Shorter parts are read again in less time than a copy takes to be set up, some
/// milliseconds at the sheet's 140 tokens a millisecond.
const COPY_TOKENS: u32 = 512;

/// What a gateway knows, shared by all of its tasks.
#[derive(Debug)]
pub struct Knowledge {
    start: Instant,
    table: RwLock<Arc<Table>>,
    fleet: Mutex<Fleet>,
}

#[derive(Debug, Default)]
struct Fleet {
    is_known: bool,
    /// Until then announcements may be missing because the store was away.
    settles_at: Duration,
    /// Sorted by id.
    endpoints: Vec<Known>,
    /// Sorted by service.
    outliers: Vec<(Arc<str>, Outliers)>,
    /// Where parts of prompts were read last.
    places: Places,
}

#[derive(Debug)]
struct Known {
    endpoint: Arc<Endpoint>,
    occupancy: Occupancy,
    /// Its announcement is missing; it goes for good at this time.
    missing_until: Option<Duration>,
    /// Another endpoint answered at its address.
    is_replaced: bool,
}

/// What a choice of endpoints rests on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wish<'a> {
    pub(crate) service: &'a str,
    pub(crate) centre: &'a str,
    pub(crate) tried: &'a [Arc<str>],
    /// The part of the prompt that other requests share.
    pub(crate) part: Option<Part>,
    /// Whether the request may find out if an endpoint that failed works again.
    pub(crate) may_probe: bool,
    pub(crate) seed: u64,
}

/// Where a request is to be sent.
#[derive(Debug, Clone)]
pub(crate) struct Choice {
    pub(crate) endpoint: Arc<Endpoint>,
    /// Another endpoint that holds the shared part of the prompt.
    pub(crate) copy_from: Option<SocketAddr>,
}

impl Default for Knowledge {
    fn default() -> Knowledge {
        Knowledge { start: Instant::now(), table: RwLock::default(), fleet: Mutex::default() }
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
        self.table().version() > 0 && self.fleet.lock().is_known
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
        let now = self.now();
        let mut fleet = self.fleet.lock();
        let is_told = |known: &Known| endpoints.iter().any(|told| told.id == known.endpoint.id);
        if after_outage {
            fleet.settles_at = now + RETURN_TIME;
            for known in fleet.endpoints.iter_mut().filter(|known| !is_told(known)) {
                known.missing_until.get_or_insert(now + RETURN_TIME);
            }
        } else {
            fleet.endpoints.retain(is_told);
        }
        for endpoint in endpoints {
            fleet.put(endpoint);
        }
        fleet.is_known = true;
    }

    /// All endpoints that are known, sorted by id.
    pub fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        let fleet = self.fleet.lock();
        fleet.endpoints.iter().map(|known| Arc::clone(&known.endpoint)).collect()
    }

    /// Takes in one announcement.
    pub fn set_endpoint(&self, endpoint: Endpoint) {
        self.fleet.lock().put(endpoint);
    }

    /// Drops the endpoint of an id at once.
    pub fn drop_endpoint(&self, id: &str) {
        self.fleet.lock().endpoints.retain(|known| *known.endpoint.id != *id);
    }

    /// Drops the endpoint of an id; one whose announcement may have lapsed with the
    /// store has time to return.
    pub fn remove_endpoint(&self, id: &str) {
        let now = self.now();
        let mut fleet = self.fleet.lock();
        let settles_at = fleet.settles_at;
        if now < settles_at {
            fleet.with(id, |known| {
                known.missing_until.get_or_insert(settles_at);
            });
        } else {
            drop(fleet);
            self.drop_endpoint(id);
        }
    }

    /// Drops endpoints that did not return in time.
    pub fn forget_missing(&self) {
        let now = self.now();
        let is_kept = |known: &Known| known.missing_until.is_none_or(|until| now < until);
        self.fleet.lock().endpoints.retain(is_kept);
    }

    /// The endpoint that a request is to be sent to; it is counted there until
    /// [`Knowledge::ended`] is called.
    pub(crate) fn choose(&self, wish: &Wish<'_>) -> Option<Choice> {
        let now = self.now();
        let mut fleet = self.fleet.lock();
        let endpoint = match fleet.due_probe(wish, now) {
            Some(probed) => probed,
            None => fleet.best(wish, now)?,
        };
        let copy_from = fleet.copy_source(wish, &endpoint, now);
        if let Some(part) = wish.part {
            let last = Last { place: place(&endpoint.id), home: 0 };
            fleet.places.remember(part.id, last, now);
        }
        fleet.with(&endpoint.id, |known| known.occupancy.sent());
        Some(Choice { endpoint, copy_from })
    }

    /// Counts the end of a request at an endpoint.
    pub(crate) fn ended(&self, id: &str) {
        self.fleet.lock().with(id, |known| known.occupancy.ended());
    }

    /// Takes in an endpoint's load as an answer tells it.
    pub(crate) fn told(&self, id: &str, load: Load) {
        let now = self.now();
        let requests = load.running.saturating_add(load.waiting);
        self.fleet.lock().with(id, |known| known.occupancy.told(requests, now));
    }

    /// Takes in that another endpoint has the address of this one.
    pub(crate) fn replaced(&self, id: &str) {
        self.fleet.lock().with(id, |known| known.is_replaced = true);
    }

    /// Takes in that an endpoint answered a request well, and how long that took.
    pub(crate) fn answered(&self, endpoint: &Endpoint, latency: Duration) -> bool {
        let now = self.now();
        self.fleet.lock().outliers(&endpoint.service).answered(&endpoint.id, latency, now)
    }

    /// Takes in that an endpoint failed; says whether it is left out for it.
    pub(crate) fn failed(&self, endpoint: &Endpoint) -> bool {
        let now = self.now();
        self.fleet.lock().outliers(&endpoint.service).failed(&endpoint.id, now)
    }
}

impl Fleet {
    fn put(&mut self, endpoint: Endpoint) {
        let found = self.endpoints.binary_search_by(|known| known.endpoint.id.cmp(&endpoint.id));
        match found {
            Ok(index) if self.endpoints[index].endpoint.is_same_start(&endpoint) => {
                let known = &mut self.endpoints[index];
                known.endpoint = Arc::new(endpoint);
                known.missing_until = None;
            }
            Ok(index) => self.endpoints[index] = Known::new(endpoint),
            Err(index) => self.endpoints.insert(index, Known::new(endpoint)),
        }
    }

    fn with(&mut self, id: &str, change: impl FnOnce(&mut Known)) {
        let found = self.endpoints.binary_search_by(|known| (*known.endpoint.id).cmp(id));
        if let Ok(index) = found {
            change(&mut self.endpoints[index]);
        }
    }

    fn outliers(&mut self, service: &Arc<str>) -> &mut Outliers {
        let index = match self.outliers.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                self.outliers.insert(index, (Arc::clone(service), Outliers::default()));
                index
            }
        };
        &mut self.outliers[index].1
    }

    /// The best endpoint for a request among those that work.
    fn best(&self, wish: &Wish<'_>, now: Duration) -> Option<Arc<Endpoint>> {
        let open: Vec<&Known> = self.endpoints.iter().filter(|known| known.is_open(wish)).collect();
        let sound = self.sound(wish.service, open, now);
        let candidates: Vec<choice::Candidate<'_>> = sound
            .iter()
            .map(|known| choice::Candidate {
                name: &known.endpoint.id,
                requests: known.occupancy.requests(now),
                is_far: *known.endpoint.centre != *wish.centre,
            })
            .collect();
        let last = wish.part.and_then(|part| self.places.last(part.id, now));
        let ask = choice::Ask {
            part: wish.part.map(|part| part.id),
            tokens: wish.part.map_or(0, |part| part.tokens),
            last: last.map(|last| last.place),
            seed: wish.seed,
        };
        let first = choice::order(&ask, &candidates).into_iter().next()?;
        Some(Arc::clone(&sound[first].endpoint))
    }

    /// An endpoint that failed and is due to be tried again, by this request alone.
    fn due_probe(&mut self, wish: &Wish<'_>, now: Duration) -> Option<Arc<Endpoint>> {
        if !wish.may_probe {
            return None;
        }
        let index = self.outliers.binary_search_by(|(name, _)| (**name).cmp(wish.service)).ok()?;
        let outliers = &mut self.outliers[index].1;
        let open = self.endpoints.iter().filter(|known| known.is_open(wish));
        let mut due = open.filter(|known| outliers.probe(&known.endpoint.id, now));
        due.next().map(|known| Arc::clone(&known.endpoint))
    }

    /// The endpoint that holds the shared part, where another one is to read it and
    /// a copy is worth it. One that leaves still has it; one that fails may not.
    fn copy_source(&self, wish: &Wish<'_>, chosen: &Endpoint, now: Duration) -> Option<SocketAddr> {
        let part = wish.part.filter(|part| part.tokens >= COPY_TOKENS)?;
        let last = self.places.last(part.id, now)?.place;
        if last == place(&chosen.id) {
            return None;
        }
        let source = self.endpoints.iter().find(|known| place(&known.endpoint.id) == last)?;
        let is_sound = source.missing_until.is_none()
            && !source.is_replaced
            && self.verdict(&source.endpoint, now) == Verdict::Open;
        is_sound.then_some(source.endpoint.address)
    }

    fn verdict(&self, endpoint: &Endpoint, now: Duration) -> Verdict {
        let found = self.outliers.binary_search_by(|(name, _)| name.cmp(&endpoint.service));
        let Ok(index) = found else { return Verdict::Open };
        let verdicts = self.outliers[index].1.verdicts(&[&endpoint.id], now);
        verdicts.first().copied().unwrap_or(Verdict::Open)
    }

    /// Leaves out endpoints that fail, but never so many that the rest can't carry their work.
    fn sound<'a>(&self, service: &str, open: Vec<&'a Known>, now: Duration) -> Vec<&'a Known> {
        let Ok(index) = self.outliers.binary_search_by(|(name, _)| (**name).cmp(service)) else {
            return open;
        };
        let names: Vec<&str> = open.iter().map(|known| &*known.endpoint.id).collect();
        let verdicts = self.outliers[index].1.verdicts(&names, now);
        let pairs = open.iter().zip(verdicts);
        let sound = pairs.filter(|(_, verdict)| *verdict == Verdict::Open);
        let sound: Vec<&Known> = sound.map(|(known, _)| *known).collect();
        if sound.is_empty() { open } else { sound }
    }
}

impl Known {
    fn new(endpoint: Endpoint) -> Known {
        let endpoint = Arc::new(endpoint);
        Known { endpoint, occupancy: Occupancy::default(), missing_until: None, is_replaced: false }
    }

    fn is_open(&self, wish: &Wish<'_>) -> bool {
        let endpoint = &self.endpoint;
        *endpoint.service == *wish.service
            && endpoint.state == State::Ready
            && !self.is_replaced
            && !wish.tried.contains(&endpoint.id)
    }
}
