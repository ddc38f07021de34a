//! The endpoints that requests can be sent to, with their load and health.
//!
//! The type has no lock of its own; [`crate::Routing`] holds it behind one.

use std::sync::Arc;
use std::time::Duration;

use policy::exchange;
use policy::exchange::Sheet;
use policy::failure_rate::Trials;
use policy::observation::Observations;
use policy::outlier::Outliers;
use policy::popularity::Popularity;
use policy::rate_limit::Usage;
use route::Endpoint;
use route::Reply;

use crate::criteria::Choice;
use crate::criteria::Criteria;
use crate::demands::Demands;
use crate::ejections::Ejections;
use crate::failures::End;
use crate::failures::Failures;
use crate::history::History;
use crate::quarantine::start_id;
use crate::record;
use crate::removed::Removed;
use crate::selection::Selection;
use crate::tracked::Tracked;

/// How long an endpoint is kept whose announcement is missing after an outage of the store.
/// Running endpoints announce themselves again within two seconds.
const REANNOUNCE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// How long an endpoint is kept whose removal the store reports shortly after an outage. Together with
/// the pause between reads of changes it is below the two seconds in which an endpoint that is
/// leaving may get requests.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The known endpoints, their occupancy and outlier ejection.
#[derive(Debug)]
pub(crate) struct Endpoints {
    /// Random bits of this process, which spread its requests at limited endpoints in time.
    seed: u64,
    /// Whether all announcements have been read once.
    is_loaded: bool,
    /// The history of the store from which the endpoints were last read.
    history: History,
    /// Until this time an announcement may be missing only because of an outage of the store.
    grace_until: Duration,
    /// Endpoints that were removed lately, which a restored store may still have.
    removed: Removed,
    /// Sorted by id.
    endpoints: Vec<Tracked>,
    ejections: Ejections,
    /// How often parts of prompts were seen lately.
    popularity: Popularity,
    /// Requests for each service lately.
    demands: Demands,
    pub(crate) failures: Failures,
}

impl Endpoints {
    /// Creates a value without endpoints. The seed is another one in each process.
    pub(crate) fn new(seed: u64) -> Endpoints {
        Endpoints {
            seed,
            is_loaded: false,
            history: History::default(),
            grace_until: Duration::ZERO,
            removed: Removed::default(),
            endpoints: Vec::new(),
            ejections: Ejections::default(),
            popularity: Popularity::default(),
            demands: Demands::default(),
            failures: Failures::default(),
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
            self.put(endpoint);
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

    /// Chooses the endpoint of a request, and counts the request as in flight there. `gateways` is
    /// the number of registered gateways.
    pub(crate) fn choose(
        &mut self,
        criteria: &Criteria<'_>,
        gateways: u32,
        now: Duration,
    ) -> Option<Choice> {
        self.refill(criteria.service, gateways, now);
        if let Some(part) = criteria.part {
            self.popularity.record(part.id, now);
        }
        let endpoint = match self.choose_probe(criteria, now) {
            Some(probed) => probed,
            None => self.choose_sound(criteria, gateways, now)?,
        };
        let copy_from = self.selection().copy_source(criteria, &endpoint);
        self.update(&endpoint.id, |tracked| {
            tracked.occupancy.record_sent();
            tracked.limiter.record_sent(now);
        });
        Some(Choice { endpoint, copy_from })
    }

    /// Chooses the best endpoint, or a failing one whose recovery is to be noticed.
    fn choose_sound(
        &mut self,
        criteria: &Criteria<'_>,
        gateways: u32,
        now: Duration,
    ) -> Option<Arc<Endpoint>> {
        let trials = Trials { gateways, seed: self.seed ^ criteria.seed };
        self.failures.judge(&mut self.endpoints, criteria.service, trials, now);
        let Some(failing) = self.selection().trial(criteria, now) else {
            return self.selection().best(criteria, now);
        };
        self.update(&failing.id, |tracked| tracked.tally.record_trial(trials.interval(), now));
        record::trial(&failing.service);
        Some(failing)
    }

    /// Counts how a request ended at an endpoint.
    pub(crate) fn record_end(&mut self, endpoint: &Endpoint, end: End, now: Duration) {
        self.update(&endpoint.id, |tracked| tracked.record_end(endpoint, end, now));
    }

    /// Records the end of a request at an endpoint.
    pub(crate) fn request_ended(&mut self, id: &str) {
        self.update(id, |tracked| tracked.occupancy.record_ended());
    }

    /// Records the number of requests from all callers that an endpoint reported.
    pub(crate) fn record_load(&mut self, id: &str, requests: u32, now: Duration) {
        self.update(id, |tracked| tracked.occupancy.record_report(requests, now));
    }

    /// Counts a request for a service, and refills the permits for its limited endpoints.
    fn refill(&mut self, service: &str, gateways: u32, now: Duration) {
        let wanted = self.demands.record(service, now);
        for tracked in self.endpoints.iter_mut().filter(|it| *it.endpoint.service == *service) {
            tracked.limiter.refill(wanted, gateways, now);
        }
    }

    /// Returns after which time a request with these criteria may be sent, if only the limits of
    /// endpoints keep it from being sent now, and counts its client among those that come back.
    pub(crate) fn limited_for(
        &mut self,
        criteria: &Criteria<'_>,
        now: Duration,
    ) -> Option<Duration> {
        let limited = self.endpoints.iter().filter(|tracked| tracked.is_available(criteria));
        let permits: Vec<(Duration, f64)> =
            limited.map(|tracked| tracked.limiter.next_permit()).collect();
        let first = permits.iter().map(|(wait, _)| *wait).min()?;
        let rate = permits.iter().map(|(_, rate)| *rate).sum();
        Some(self.demands.promise(criteria.service, first, rate, now))
    }

    /// Records the limit that an endpoint named, in requests per second.
    pub(crate) fn record_max_rate(&mut self, id: &str, max_rate: Option<f64>, now: Duration) {
        self.update(id, |tracked| {
            if tracked.limiter.set_max_rate(max_rate, now) {
                record::limit(&tracked.endpoint, max_rate, "response");
            }
        });
    }

    /// Records what a response of an endpoint says of it.
    pub(crate) fn record_notice(&mut self, endpoint: &Endpoint, reply: &Reply, now: Duration) {
        self.update(&endpoint.id, |tracked| {
            if tracked.endpoint.is_same_start(endpoint) && tracked.notice.record(reply, now) {
                record::notice(endpoint, reply);
            }
        });
    }

    /// Returns after which time a request with these criteria may be sent, if all endpoints want no
    /// requests until then.
    pub(crate) fn paused_for(&self, criteria: &Criteria<'_>) -> Option<Duration> {
        let suitable = self.endpoints.iter().filter(|tracked| tracked.is_suitable(criteria));
        suitable.map(|it| it.notice.pause(criteria.now)).min().filter(|left| !left.is_zero())
    }

    /// Returns what this gateway tells others of its requests at limited endpoints.
    pub(crate) fn own_usage(&self, now: Duration) -> Usage {
        let mut usage = Usage::default();
        for tracked in &self.endpoints {
            let wanted = self.demands.count(&tracked.endpoint.service, now);
            tracked.limiter.row(wanted, now).into_iter().for_each(|row| usage.add(row));
        }
        usage
    }

    /// Records the requests of other gateways at limited endpoints, and the number of these
    /// gateways.
    pub(crate) fn set_other_usage(&mut self, usage: &Usage, gateways: u32, now: Duration) {
        for tracked in &mut self.endpoints {
            let row = usage.row(start_id(&tracked.endpoint));
            if tracked.limiter.learn(row, gateways, now) {
                record::limit(&tracked.endpoint, tracked.limiter.max_rate(), "gateway");
            }
        }
    }

    /// Returns what this gateway has observed of endpoints.
    pub(crate) fn own_observations(&self, now: Duration) -> Observations {
        let failures = self.failures.sheet(&self.endpoints, now);
        Observations { failures, ..Observations::default() }
    }

    /// Records what the other gateways have observed of endpoints, and the number of these
    /// gateways.
    pub(crate) fn set_other_observations(
        &mut self,
        observations: &Observations,
        _gateways: u32,
        now: Duration,
    ) {
        self.failures.learn(&mut self.endpoints, &observations.failures, now);
    }

    /// Returns the requests that this gateway has in flight at endpoints.
    pub(crate) fn own_loads(&self) -> Sheet {
        let mut sheet = Sheet::default();
        for tracked in &self.endpoints {
            sheet.add(exchange::fingerprint(&tracked.endpoint.id), tracked.occupancy.own());
        }
        sheet
    }

    /// Records the requests that other gateways have at endpoints.
    pub(crate) fn set_other_loads(&mut self, loads: &Sheet, now: Duration) {
        for tracked in &mut self.endpoints {
            let others = loads.requests(exchange::fingerprint(&tracked.endpoint.id));
            tracked.occupancy.record_others(others, now);
        }
    }

    /// Marks an endpoint as replaced by another one at its address; it gets no more requests.
    pub(crate) fn set_replaced(&mut self, id: &str) {
        self.update(id, |tracked| tracked.is_replaced = true);
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
    pub(crate) fn put(&mut self, endpoint: Endpoint) {
        self.removed.forget(&endpoint.id);
        match self.find(&endpoint.id) {
            Ok(index) if self.endpoints[index].endpoint.is_same_start(&endpoint) => {
                let tracked = &mut self.endpoints[index];
                tracked.endpoint = Arc::new(endpoint);
                tracked.missing_until = None;
            }
            Ok(index) => self.endpoints[index] = Tracked::new(endpoint, self.seed),
            Err(index) => self.endpoints.insert(index, Tracked::new(endpoint, self.seed)),
        }
    }

    /// Applies a change to an endpoint if it is known.
    fn update(&mut self, id: &str, change: impl FnOnce(&mut Tracked)) {
        if let Ok(index) = self.find(id) {
            change(&mut self.endpoints[index]);
        }
    }

    /// Returns the index of an endpoint, or the index to insert it at.
    fn find(&self, id: &str) -> Result<usize, usize> {
        self.endpoints.binary_search_by(|tracked| (*tracked.endpoint.id).cmp(id))
    }

    /// Returns the outlier ejection of a service.
    pub(crate) fn outliers(&mut self, service: &Arc<str>) -> &mut Outliers {
        self.ejections.entry(service)
    }

    /// Returns what an endpoint is selected from.
    pub(crate) fn selection(&self) -> Selection<'_> {
        Selection {
            endpoints: &self.endpoints,
            ejections: &self.ejections,
            popularity: &self.popularity,
        }
    }

    /// Chooses an ejected endpoint that is due for a probe. No other request probes it at the same
    /// time.
    fn choose_probe(&mut self, criteria: &Criteria<'_>, now: Duration) -> Option<Arc<Endpoint>> {
        if !criteria.can_probe {
            return None;
        }
        let outliers = self.ejections.find_mut(criteria.service)?;
        let available = self
            .endpoints
            .iter()
            .filter(|tracked| tracked.is_available(criteria) && tracked.limiter.allows());
        let mut due = available.filter(|tracked| outliers.try_probe(&tracked.endpoint.id, now));
        due.next().map(|tracked| Arc::clone(&tracked.endpoint))
    }
}
