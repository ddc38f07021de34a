//! The endpoints that are announced, and which of them get no more requests.

use std::sync::Arc;
use std::time::Duration;

use policy::liveness::Liveness;
use route::Endpoint;

use crate::criteria::Criteria;
use crate::evacuations::Evacuations;
use crate::history::History;
use crate::record;
use crate::removed::Removed;
use crate::tracked::Tracked;

/// How long an endpoint is kept whose announcement is missing after an outage of the store.
/// Running endpoints announce themselves again within two seconds.
const REANNOUNCE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// How long an endpoint is kept whose removal the store reports shortly after an outage. Together with
/// the pause between reads of changes it is below the two seconds in which an endpoint that is
/// leaving may get requests.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The known endpoints, as the store's announcements and evacuations say.
#[derive(Debug)]
pub(crate) struct Directory {
    /// Random bits of this process, which spread its requests at limited endpoints in time.
    pub(crate) seed: u64,
    /// Whether all announcements have been read once.
    is_loaded: bool,
    /// Whether announcements can be read now, from the store or from other gateways.
    can_read: bool,
    /// The history of the store from which the endpoints were last read.
    history: History,
    /// Until this time an announcement may be missing only because of an outage of the store.
    grace_until: Duration,
    /// Endpoints that were removed lately, which a restored store may still have.
    removed: Removed,
    /// Number of announced starts that replaced others.
    pub(crate) restarts: u64,
    /// Sorted by id.
    pub(crate) endpoints: Vec<Tracked>,
    /// Evacuated data centres; [`Directory::evacuate`] also updates the endpoints there.
    pub(crate) evacuations: Evacuations,
}

impl Directory {
    /// Creates a value without endpoints. The seed is another one in each process.
    pub(crate) fn new(seed: u64) -> Directory {
        Directory {
            seed,
            is_loaded: false,
            can_read: true,
            history: History::default(),
            grace_until: Duration::ZERO,
            removed: Removed::default(),
            restarts: 0,
            endpoints: Vec::new(),
            evacuations: Evacuations::new(REANNOUNCE_TIMEOUT),
        }
    }

    /// Whether all announcements have been read once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns the history of the store from which the endpoints were last read.
    pub(crate) fn history(&self) -> History {
        self.history
    }

    /// Returns all endpoints, sorted by id.
    pub(crate) fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        self.endpoints.iter().map(|tracked| Arc::clone(&tracked.endpoint)).collect()
    }

    /// Returns the announced endpoints without announcements that are older than what is known, as
    /// they may be in a listing of a store that has come back from a copy.
    ///
    /// Endpoints that run announce themselves again, which then counts.
    pub(crate) fn without_outdated(
        &self,
        announced: Vec<Endpoint>,
        restores: u64,
        now: Duration,
    ) -> Vec<Endpoint> {
        if !self.is_restored(restores) {
            return announced;
        }
        let current = |endpoint: Endpoint| match self.find(&endpoint.id) {
            Ok(index) => Some(self.endpoints[index].endpoint.newer_of(endpoint)),
            Err(_) => (!self.removed.contains(&endpoint, now)).then_some(endpoint),
        };
        announced.into_iter().filter_map(current).collect()
    }

    /// Whether the store has come back from a copy since the endpoints were last read.
    fn is_restored(&self, restores: u64) -> bool {
        self.is_loaded && restores > self.history.restores
    }

    /// Replaces the endpoints by the announced ones. After an outage or a restore of the store,
    /// endpoints without an announcement are kept until they had time to announce themselves again.
    pub(crate) fn set_all(
        &mut self,
        announced: Vec<Endpoint>,
        restores: u64,
        after_outage: bool,
        now: Duration,
    ) {
        let is_announced =
            |tracked: &Tracked| announced.iter().any(|other| other.id == tracked.endpoint.id);
        if after_outage || self.is_restored(restores) {
            self.grace_until = now + REANNOUNCE_TIMEOUT;
            for tracked in self.endpoints.iter_mut().filter(|tracked| !is_announced(tracked)) {
                tracked.missing_until.get_or_insert(now + REANNOUNCE_TIMEOUT);
            }
        } else {
            let gone = self.endpoints.extract_if(.., |tracked| !is_announced(tracked));
            gone.for_each(|tracked| self.removed.add(tracked.endpoint, now));
        }
        self.history.advance(restores, !self.is_loaded, now);
        for endpoint in announced {
            self.put(endpoint, now);
        }
        self.is_loaded = true;
    }

    /// Removes an endpoint at once.
    pub(crate) fn remove_now(&mut self, id: &str, now: Duration) {
        let gone = self.endpoints.extract_if(.., |tracked| *tracked.endpoint.id == *id);
        gone.for_each(|tracked| self.removed.add(tracked.endpoint, now));
    }

    /// Removes an endpoint whose announcement was removed. Shortly after an outage of the store
    /// the endpoint is kept for a while, in which it may announce itself again.
    pub(crate) fn remove(&mut self, id: &str, now: Duration) {
        if now >= self.grace_until {
            return self.remove_now(id, now);
        }
        let until = self.grace_until.min(now + REMOVAL_TIMEOUT);
        self.update(id, |tracked| tracked.set_missing(until));
    }

    /// Removes endpoints that did not announce themselves again in time.
    pub(crate) fn remove_missing(&mut self, now: Duration) {
        let is_gone = |tracked: &mut Tracked| tracked.missing_until.is_some_and(|it| now >= it);
        let gone = self.endpoints.extract_if(.., is_gone);
        gone.for_each(|tracked| self.removed.add(tracked.endpoint, now));
    }

    /// Marks an endpoint as replaced by another one at its address; it gets no more requests.
    pub(crate) fn set_replaced(&mut self, id: &str) {
        self.update(id, |tracked| tracked.is_replaced = true);
    }

    /// Sets whether announcements can be read now. While they can't, none are awaited.
    pub(crate) fn set_readable(&mut self, can_read: bool) {
        self.can_read = can_read;
        if !can_read {
            self.endpoints.iter_mut().for_each(|tracked| tracked.liveness.stop_waiting());
        }
    }

    /// Records that a request broke off at a start of an endpoint, which may have ended. Returns whether
    /// a check of that has to be started.
    pub(crate) fn doubt(&mut self, start: &Endpoint) -> bool {
        self.liveness(start).is_some_and(Liveness::doubt)
    }

    /// Records that the check of a start of an endpoint hasn't shown that it ended.
    pub(crate) fn clear_doubt(&mut self, start: &Endpoint) {
        if let Some(liveness) = self.liveness(start) {
            liveness.clear_doubt();
        }
    }

    /// Records that nothing listens at the address of a start of an endpoint, so that it has ended.
    /// Returns whether that is news.
    pub(crate) fn end(&mut self, start: &Endpoint) -> bool {
        let is_new = self.liveness(start).is_some_and(Liveness::end);
        if is_new {
            record::ended(start);
        }
        is_new
    }

    /// Whether a start of an endpoint has ended, and nothing is known to listen at its address since.
    pub(crate) fn has_ended(&mut self, start: &Endpoint) -> bool {
        self.liveness(start).is_some_and(|liveness| *liveness == Liveness::Ended)
    }

    /// Records that something listens again at the address of a start that had ended.
    pub(crate) fn listen(&mut self, start: &Endpoint, now: Duration) {
        let can_read = self.can_read;
        if let Some(liveness) = self.liveness(start) {
            liveness.listen(can_read, now);
            record::listening(start, can_read);
        }
    }

    /// Returns whether a start of an endpoint runs; `None` if it isn't the one that is known.
    fn liveness(&mut self, start: &Endpoint) -> Option<&mut Liveness> {
        let index = self.find(&start.id).ok()?;
        let tracked = &mut self.endpoints[index];
        tracked.endpoint.is_same_start(start).then_some(&mut tracked.liveness)
    }

    /// Returns the latest start of an endpoint if it is at the same address as another one, with the time
    /// at which it was announced.
    pub(crate) fn start_of(&self, other: &Endpoint) -> Option<(Arc<Endpoint>, Duration)> {
        let tracked = &self.endpoints[self.find(&other.id).ok()?];
        let is_there = tracked.endpoint.address == other.address;
        is_there.then(|| (Arc::clone(&tracked.endpoint), tracked.since))
    }

    /// Returns the known endpoints at the address of an announced one that are another start.
    pub(crate) fn ended_before(&self, announced: &Endpoint) -> Vec<Arc<Endpoint>> {
        let known = self.endpoints.iter().map(|tracked| &tracked.endpoint);
        let ended = known.filter(|endpoint| {
            endpoint.address == announced.address && !endpoint.is_same_start(announced)
        });
        ended.cloned().collect()
    }

    /// Adds or updates an endpoint. If it was restarted, what was observed of the earlier start
    /// is dropped.
    pub(crate) fn put(&mut self, endpoint: Endpoint, now: Duration) {
        self.removed.forget(&endpoint.id);
        let is_evacuated = self.evacuations.contains(&endpoint.centre);
        let index = self.find(&endpoint.id);
        match index {
            Ok(index) if self.endpoints[index].endpoint.is_same_start(&endpoint) => {
                self.endpoints[index].update(endpoint, now);
            }
            Ok(index) => {
                self.restarts += 1;
                self.endpoints[index] = Tracked::new(endpoint, self.seed, now);
            }
            Err(index) => self.endpoints.insert(index, Tracked::new(endpoint, self.seed, now)),
        }
        let (Ok(index) | Err(index)) = index;
        self.endpoints[index].is_evacuated = is_evacuated;
    }

    /// Changes which data centres are evacuated.
    pub(crate) fn evacuate(&mut self, change: impl FnOnce(&mut Evacuations), now: Duration) {
        change(&mut self.evacuations);
        for tracked in &mut self.endpoints {
            tracked.is_evacuated = self.evacuations.contains(&tracked.endpoint.centre);
        }
        if self.is_loaded {
            self.evacuations.report(&self.endpoints, now);
        }
    }

    /// Ends evacuations whose grace time is over, and records the progress of the others.
    pub(crate) fn settle_evacuations(&mut self, now: Duration) {
        if !self.evacuations.is_empty() {
            self.evacuate(|evacuations| evacuations.settle(now), now);
        }
    }

    /// Whether evacuations alone keep all requests with these criteria from being sent.
    pub(crate) fn is_evacuated(&self, criteria: &Criteria<'_>) -> bool {
        let mut usable = self.endpoints.iter().filter(|it| it.is_usable(criteria)).peekable();
        usable.peek().is_some() && usable.all(|tracked| tracked.is_evacuated)
    }

    /// Applies a change to an endpoint if it is known.
    pub(crate) fn update(&mut self, id: &str, change: impl FnOnce(&mut Tracked)) {
        if let Ok(index) = self.find(id) {
            change(&mut self.endpoints[index]);
        }
    }

    /// Returns the index of an endpoint, or the index to insert it at.
    pub(crate) fn find(&self, id: &str) -> Result<usize, usize> {
        self.endpoints.binary_search_by(|tracked| (*tracked.endpoint.id).cmp(id))
    }
}
