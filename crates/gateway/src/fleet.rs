//! The endpoints that a gateway knows, behind one lock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::choice;
use policy::occupancy::Occupancy;
use policy::outlier::Outliers;
use policy::outlier::Verdict;
use policy::placement::Location;
use policy::placement::Locations;
use policy::placement::fingerprint;
use route::Endpoint;
use route::endpoint::State;

use crate::wish::Choice;
use crate::wish::Wish;

/// An endpoint whose announcement is gone after the store was away is kept this
/// long, since living endpoints announce themselves again within two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Shorter parts are read again in less time than a copy takes to be set up, some
/// milliseconds at the sheet's 140 tokens a millisecond.
const COPY_TOKENS: u32 = 512;

/// The endpoints that a gateway knows.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    is_known: bool,
    /// Until then announcements may be missing because the store was away.
    settles_at: Duration,
    /// Sorted by id.
    endpoints: Vec<Known>,
    /// Sorted by service.
    outliers: Vec<(Arc<str>, Outliers)>,
    /// Where parts of prompts were read last.
    places: Locations,
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

impl Fleet {
    /// Whether all announcements were read once.
    pub(crate) fn is_known(&self) -> bool {
        self.is_known
    }

    pub(crate) fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        self.endpoints.iter().map(|known| Arc::clone(&known.endpoint)).collect()
    }

    pub(crate) fn set_all(&mut self, told: Vec<Endpoint>, after_outage: bool, now: Duration) {
        let is_told = |known: &Known| told.iter().any(|told| told.id == known.endpoint.id);
        if after_outage {
            self.settles_at = now + RETURN_TIME;
            for known in self.endpoints.iter_mut().filter(|known| !is_told(known)) {
                known.missing_until.get_or_insert(now + RETURN_TIME);
            }
        } else {
            self.endpoints.retain(is_told);
        }
        for endpoint in told {
            self.put(endpoint);
        }
        self.is_known = true;
    }

    pub(crate) fn forget(&mut self, id: &str) {
        self.endpoints.retain(|known| *known.endpoint.id != *id);
    }

    pub(crate) fn remove(&mut self, id: &str, now: Duration) {
        if now >= self.settles_at {
            return self.forget(id);
        }
        let settles_at = self.settles_at;
        self.with(id, |known| {
            known.missing_until.get_or_insert(settles_at);
        });
    }

    pub(crate) fn forget_missing(&mut self, now: Duration) {
        self.endpoints.retain(|known| known.missing_until.is_none_or(|until| now < until));
    }

    pub(crate) fn choose(&mut self, wish: &Wish<'_>, now: Duration) -> Option<Choice> {
        let endpoint = match self.due_probe(wish, now) {
            Some(probed) => probed,
            None => self.best(wish, now)?,
        };
        let copy_from = self.copy_source(wish, &endpoint, now);
        if let Some(part) = wish.part {
            let last = Location { engine: fingerprint(&endpoint.id), home: 0 };
            self.places.record(part.id, last, now);
        }
        self.with(&endpoint.id, |known| known.occupancy.sent());
        Some(Choice { endpoint, copy_from })
    }

    pub(crate) fn ended(&mut self, id: &str) {
        self.with(id, |known| known.occupancy.ended());
    }

    pub(crate) fn told(&mut self, id: &str, requests: u32, now: Duration) {
        self.with(id, |known| known.occupancy.told(requests, now));
    }

    pub(crate) fn replaced(&mut self, id: &str) {
        self.with(id, |known| known.is_replaced = true);
    }

    pub(crate) fn put(&mut self, endpoint: Endpoint) {
        match self.find(&endpoint.id) {
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
        if let Ok(index) = self.find(id) {
            change(&mut self.endpoints[index]);
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.endpoints.binary_search_by(|known| (*known.endpoint.id).cmp(id))
    }

    pub(crate) fn outliers(&mut self, service: &Arc<str>) -> &mut Outliers {
        let index = match find_service(&self.outliers, service) {
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
        let last = wish.part.and_then(|part| self.places.locate(part.id, now));
        let query = choice::Query {
            part: wish.part.map(|part| part.id),
            tokens: wish.part.map_or(0, |part| part.tokens),
            last: last.map(|last| last.engine),
            seed: wish.seed,
        };
        let first = choice::order(&query, &candidates).into_iter().next()?;
        Some(Arc::clone(&sound[first].endpoint))
    }

    /// An endpoint that failed and is due to be tried again, by this request alone.
    fn due_probe(&mut self, wish: &Wish<'_>, now: Duration) -> Option<Arc<Endpoint>> {
        if !wish.may_probe {
            return None;
        }
        let index = find_service(&self.outliers, wish.service).ok()?;
        let outliers = &mut self.outliers[index].1;
        let open = self.endpoints.iter().filter(|known| known.is_open(wish));
        let mut due = open.filter(|known| outliers.try_probe(&known.endpoint.id, now));
        due.next().map(|known| Arc::clone(&known.endpoint))
    }

    /// The endpoint that holds the shared part, where another one is to read it and
    /// a copy is worth it. One that leaves still has it; one that fails may not.
    fn copy_source(&self, wish: &Wish<'_>, chosen: &Endpoint, now: Duration) -> Option<SocketAddr> {
        let part = wish.part.filter(|part| part.tokens >= COPY_TOKENS)?;
        let last = self.places.locate(part.id, now)?.engine;
        if last == fingerprint(&chosen.id) {
            return None;
        }
        let source = self.endpoints.iter().find(|known| fingerprint(&known.endpoint.id) == last)?;
        let is_sound = source.missing_until.is_none()
            && !source.is_replaced
            && !self.is_failing(&source.endpoint);
        is_sound.then_some(source.endpoint.address)
    }

    fn outliers_of(&self, service: &str) -> Option<&Outliers> {
        let index = find_service(&self.outliers, service).ok()?;
        Some(&self.outliers[index].1)
    }

    fn is_failing(&self, endpoint: &Endpoint) -> bool {
        let outliers = self.outliers_of(&endpoint.service);
        outliers.is_some_and(|outliers| outliers.is_failing(&endpoint.id))
    }

    /// Leaves out endpoints that fail, but never so many that the rest can't carry their work.
    fn sound<'a>(&self, service: &str, open: Vec<&'a Known>, now: Duration) -> Vec<&'a Known> {
        let Some(outliers) = self.outliers_of(service) else { return open };
        let names: Vec<&str> = open.iter().map(|known| &*known.endpoint.id).collect();
        let verdicts = outliers.verdicts(&names, now);
        let pairs = open.iter().zip(verdicts);
        let sound = pairs.filter(|(_, verdict)| *verdict == Verdict::Available);
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

fn find_service(outliers: &[(Arc<str>, Outliers)], service: &str) -> Result<usize, usize> {
    outliers.binary_search_by(|(name, _)| (**name).cmp(service))
}
