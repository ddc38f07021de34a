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
use policy::rate_limit::SPAN;
use policy::rate_limit::Usage;
use policy::slow_start::Rules;
use route::Endpoint;
use route::Reply;

use crate::criteria::Choice;
use crate::criteria::Criteria;
use crate::demands::Demands;
use crate::directory::Directory;
use crate::ejections::Ejections;
use crate::failures::End;
use crate::failures::Failures;
use crate::options::Options;
use crate::quarantine::start_id;
use crate::record;
use crate::refusal::Refusal;
use crate::selection::Selection;
use crate::speeds::Speeds;

/// Mean age of the loads of other gateways when they are used: each report waits for up to an interval
/// of 250 ms at its gateway, at the relay and at the gateway that learns of it.
const LOAD_AGE: Duration = Duration::from_millis(400);

/// The known endpoints, their occupancy and outlier ejection.
#[derive(Debug)]
pub(crate) struct Endpoints {
    /// The announced endpoints.
    pub(crate) directory: Directory,
    ejections: Ejections,
    /// How often parts of prompts were seen lately.
    popularity: Popularity,
    /// Requests for each service lately.
    demands: Demands,
    /// Whether requests are spread by what other gateways are expected to have sent.
    spreads_stale_loads: bool,
    failures: Failures,
    /// How fast endpoints work.
    pub(crate) speeds: Speeds,
}

impl Endpoints {
    /// Creates a value without endpoints. The seed is another one in each process.
    pub(crate) fn new(seed: u64, options: Options) -> Endpoints {
        Endpoints {
            directory: Directory::new(seed),
            ejections: Ejections::default(),
            popularity: Popularity::default(),
            demands: Demands::default(),
            spreads_stale_loads: options.spreads_stale_loads,
            failures: Failures::new(options.shares_failures),
            speeds: Speeds::new(options.learns_speed),
        }
    }

    /// Chooses the endpoint of a request, and counts the request as in flight there. `gateways` is
    /// the number of registered gateways, and `slow_start` has the rules of the service, if it has
    /// a slow start.
    pub(crate) fn choose(
        &mut self,
        criteria: &Criteria<'_>,
        gateways: u32,
        slow_start: Option<&Rules>,
        now: Duration,
    ) -> Option<Choice> {
        self.refill(criteria.service, gateways, slow_start, now);
        self.speeds.judge(criteria.service, &self.directory.endpoints, now);
        if let Some(part) = criteria.part {
            self.popularity.record(part.id, now);
        }
        let endpoint = match self.choose_probe(criteria, now) {
            Some(probed) => probed,
            None => self.choose_sound(criteria, gateways, now)?,
        };
        let copy_from = self.selection(0.0).copy_source(criteria, &endpoint);
        let mut requests = 0;
        self.directory.update(&endpoint.id, |tracked| {
            requests = tracked.occupancy.requests(now) as u32;
            tracked.record_sent(now);
        });
        Some(Choice { endpoint, copy_from, requests })
    }

    /// Chooses the best endpoint, or a failing one whose recovery is to be noticed.
    fn choose_sound(
        &mut self,
        criteria: &Criteria<'_>,
        gateways: u32,
        now: Duration,
    ) -> Option<Arc<Endpoint>> {
        let trials = Trials { gateways, seed: self.directory.seed ^ criteria.seed };
        self.failures.judge(&mut self.directory.endpoints, criteria.service, trials, now);
        let unseen = self.unseen(criteria.service, gateways, now);
        let selection = self.selection(unseen);
        let Some(failing) = selection.trial(criteria, now) else {
            return selection.best(criteria, now);
        };
        self.directory
            .update(&failing.id, |tracked| tracked.tally.record_trial(trials.interval(), now));
        record::trial(&failing.service);
        Some(failing)
    }

    /// Counts how a request ended at an endpoint.
    pub(crate) fn record_end(&mut self, endpoint: &Endpoint, end: End, now: Duration) {
        self.directory.update(&endpoint.id, |tracked| tracked.record_end(endpoint, end, now));
    }

    /// Records the end of a request at an endpoint.
    pub(crate) fn request_ended(&mut self, id: &str) {
        self.directory.update(id, |tracked| tracked.occupancy.record_ended());
    }

    /// Records the number of requests from all callers that an endpoint reported.
    pub(crate) fn record_load(&mut self, id: &str, requests: u32, now: Duration) {
        self.directory.update(id, |tracked| tracked.occupancy.record_report(requests, now));
    }

    /// Returns the estimated requests of all gateways at an endpoint.
    pub(crate) fn requests(&self, id: &str, now: Duration) -> u32 {
        let index = self.directory.find(id).ok();
        index.map_or(0, |index| self.directory.endpoints[index].occupancy.requests(now) as u32)
    }

    /// Counts a request for a service, and refills the permits for its limited and cold endpoints.
    fn refill(&mut self, service: &str, gateways: u32, rules: Option<&Rules>, now: Duration) {
        let wanted = self.demands.record(service, now);
        for tracked in
            self.directory.endpoints.iter_mut().filter(|it| *it.endpoint.service == *service)
        {
            tracked.limiter.refill(wanted, gateways, now);
            if let Some(turn) = tracked.throttle.refill(rules, wanted, gateways, now) {
                record::cold(&tracked.endpoint, &turn, gateways, now);
            }
        }
    }

    /// Returns the refusal of a request if only limits of endpoints, or their slow start, keep it from
    /// being sent now, and counts its client among those that come back.
    pub(crate) fn limited(&mut self, criteria: &Criteria<'_>, now: Duration) -> Option<Refusal> {
        let limited =
            self.directory.endpoints.iter().filter(|tracked| tracked.is_available(criteria));
        let permits: Vec<(Duration, f64, bool)> = limited
            .map(|tracked| {
                let (wait, rate) = tracked.next_permit(now);
                (wait, rate, tracked.throttle.is_held())
            })
            .collect();
        let (first, _, is_cold) = *permits.iter().min_by_key(|(wait, ..)| *wait)?;
        let rate = permits.iter().map(|(_, rate, _)| *rate).sum();
        let left = self.demands.promise(criteria.service, first, rate, now);
        Some(if is_cold { Refusal::Cold(left) } else { Refusal::Limited(left) })
    }

    /// Records the limit that an endpoint named, in requests per second.
    pub(crate) fn record_max_rate(&mut self, id: &str, max_rate: Option<f64>, now: Duration) {
        self.directory.update(id, |tracked| {
            if tracked.limiter.set_max_rate(max_rate, now) {
                record::limit(&tracked.endpoint, max_rate, "response");
            }
        });
    }

    /// Records what a response of an endpoint says of it.
    pub(crate) fn record_notice(&mut self, endpoint: &Endpoint, reply: &Reply, now: Duration) {
        self.directory.update(&endpoint.id, |tracked| {
            if !tracked.endpoint.is_same_start(endpoint) {
                return;
            }
            if let Some(left) = reply.cold_left {
                tracked.throttle.respond(left, now);
            }
            if tracked.notice.record(reply, now) {
                record::notice(endpoint, reply);
            }
        });
    }

    /// Returns after which time a request with these criteria may be sent, if all endpoints want no
    /// requests until then.
    pub(crate) fn paused_for(&self, criteria: &Criteria<'_>) -> Option<Duration> {
        let suitable =
            self.directory.endpoints.iter().filter(|tracked| tracked.is_suitable(criteria));
        suitable.map(|it| it.notice.pause(criteria.now)).min().filter(|left| !left.is_zero())
    }

    /// Returns what this gateway tells others of its requests at limited endpoints.
    pub(crate) fn own_usage(&self, now: Duration) -> Usage {
        let mut usage = Usage::default();
        for tracked in &self.directory.endpoints {
            let wanted = self.demands.count(&tracked.endpoint.service, now);
            tracked.limiter.row(wanted, now).into_iter().for_each(|row| usage.add(row));
        }
        usage
    }

    /// Records the requests of other gateways at limited endpoints, and the number of these
    /// gateways.
    pub(crate) fn set_other_usage(&mut self, usage: &Usage, gateways: u32, now: Duration) {
        for tracked in &mut self.directory.endpoints {
            let row = usage.row(start_id(&tracked.endpoint));
            if tracked.limiter.learn(row, gateways, now) {
                record::limit(&tracked.endpoint, tracked.limiter.max_rate(), "gateway");
            }
        }
    }

    /// Returns what this gateway has observed of endpoints.
    pub(crate) fn own_observations(&self, now: Duration) -> Observations {
        let failures = self.failures.sheet(&self.directory.endpoints, now);
        let speed = self.speeds.sums(now);
        let mut observations = Observations { failures, speed, ..Observations::default() };
        for tracked in &self.directory.endpoints {
            let wanted = self.demands.count(&tracked.endpoint.service, now);
            let row = tracked.throttle.row(wanted, now);
            row.into_iter().for_each(|row| observations.cold.add(row));
        }
        observations
    }

    /// Records what the other gateways have observed of endpoints, and the number of these
    /// gateways.
    pub(crate) fn set_other_observations(
        &mut self,
        observations: &Observations,
        gateways: u32,
        now: Duration,
    ) {
        self.failures.learn(&mut self.directory.endpoints, &observations.failures, now);
        self.speeds.learn(&observations.speed, gateways, &self.directory.endpoints, now);
        for tracked in &mut self.directory.endpoints {
            let wanted = self.demands.count(&tracked.endpoint.service, now);
            let row = observations.cold.row(start_id(&tracked.endpoint));
            tracked.throttle.learn(row, gateways, wanted, now);
        }
    }

    /// Returns the requests that this gateway has in flight at endpoints.
    pub(crate) fn own_loads(&self) -> Sheet {
        let mut sheet = Sheet::default();
        for tracked in &self.directory.endpoints {
            sheet.add(exchange::fingerprint(&tracked.endpoint.id), tracked.occupancy.own());
        }
        sheet
    }

    /// Records the requests that other gateways have at endpoints.
    pub(crate) fn set_other_loads(&mut self, loads: &Sheet, now: Duration) {
        for tracked in &mut self.directory.endpoints {
            let others = loads.requests(exchange::fingerprint(&tracked.endpoint.id));
            tracked.occupancy.record_others(others, now);
        }
    }

    /// Returns the outlier ejection of a service.
    pub(crate) fn outliers(&mut self, service: &Arc<str>) -> &mut Outliers {
        self.ejections.entry(service)
    }

    /// Returns what an endpoint is selected from.
    pub(crate) fn selection(&self, unseen: f64) -> Selection<'_> {
        Selection {
            endpoints: &self.directory.endpoints,
            ejections: &self.ejections,
            popularity: &self.popularity,
            unseen,
            speeds: &self.speeds,
        }
    }

    /// Returns how many requests the other gateways are expected to have sent to a service since their
    /// loads were known here. They are taken to have as many as this gateway.
    fn unseen(&self, service: &str, gateways: u32, now: Duration) -> f64 {
        if !self.spreads_stale_loads {
            return 0.0;
        }
        let own_rate = f64::from(self.demands.count(service, now)) / SPAN.as_secs_f64();
        own_rate * f64::from(gateways.saturating_sub(1)) * LOAD_AGE.as_secs_f64()
    }

    /// Chooses an ejected endpoint that is due for a probe. No other request probes it at the same
    /// time.
    fn choose_probe(&mut self, criteria: &Criteria<'_>, now: Duration) -> Option<Arc<Endpoint>> {
        if !criteria.can_probe {
            return None;
        }
        let outliers = self.ejections.find_mut(criteria.service)?;
        let available = self
            .directory
            .endpoints
            .iter()
            .filter(|tracked| tracked.is_available(criteria) && tracked.has_permit());
        let mut due = available.filter(|tracked| outliers.try_probe(&tracked.endpoint.id, now));
        due.next().map(|tracked| Arc::clone(&tracked.endpoint))
    }
}
