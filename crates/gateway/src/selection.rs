//! Selects the endpoint of a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::choice;
use policy::failure_rate;
use policy::liveness::Liveness;
use policy::popularity::Popularity;
use route::Endpoint;

use crate::criteria::Criteria;
use crate::ejections::Ejections;
use crate::speeds::Speeds;
use crate::tracked::Tracked;

/// Shortest prompt prefix that is copied between endpoints, in tokens. Computing a shorter one
/// again, at the specified 140 tokens per millisecond, takes less time than setting up a copy,
/// which takes some milliseconds.
const COPY_MIN_TOKENS: u32 = 512;

/// The known endpoints and what is known of their service, from which one is selected.
#[derive(Clone, Copy)]
pub(crate) struct Selection<'a> {
    pub(crate) endpoints: &'a [Tracked],
    pub(crate) ejections: &'a Ejections,
    pub(crate) popularity: &'a Popularity,
    /// Requests that other gateways are expected to have sent to the service since their loads were
    /// known; 0 if that isn't reckoned with.
    pub(crate) unseen: f64,
    pub(crate) speeds: &'a Speeds,
}

impl Selection<'_> {
    /// Chooses the best endpoint for a request among those that aren't ejected.
    pub(crate) fn best(&self, criteria: &Criteria<'_>, now: Duration) -> Option<Arc<Endpoint>> {
        let mut healthy = self.healthy(criteria, now);
        self.retain_sound(&mut healthy, criteria, now);
        let is_free =
            |tracked: &&Tracked| criteria.prefers(&tracked.endpoint) && tracked.has_free_slot(now);
        if healthy.iter().any(is_free) {
            healthy.retain(|tracked| criteria.prefers(&tracked.endpoint));
        }
        let mean = mean_requests(&healthy, now);
        let candidates: Vec<choice::Candidate<'_>> = healthy
            .iter()
            .map(|tracked| choice::Candidate {
                name: &tracked.endpoint.id,
                requests: requests(tracked, mean, now),
                slots: tracked.endpoint.slots,
                speed: self.speeds.speed(&tracked.endpoint),
                is_far: *tracked.endpoint.centre != *criteria.centre,
                is_limited: tracked.needs_permits(),
            })
            .collect();
        let query = choice::Query {
            part: criteria.part.map(|part| part.id),
            tokens: criteria.part.map_or(0, |part| part.tokens),
            share: criteria.part.map_or(0.0, |part| self.popularity.share(part.id, now)),
            unseen: self.unseen,
            idle: self.evacuated(criteria),
            seed: criteria.seed,
        };
        let first = choice::order(&query, &candidates).into_iter().next()?;
        Some(Arc::clone(&healthy[first].endpoint))
    }

    /// Returns a failing endpoint to which this request is sent, so that its recovery is noticed.
    /// The request has to be one that can be sent to another endpoint if it fails.
    pub(crate) fn trial(&self, criteria: &Criteria<'_>, now: Duration) -> Option<Arc<Endpoint>> {
        let is_due =
            |tracked: &Tracked| tracked.tally.is_trial_due(now) && tracked.has_free_slot(now);
        if !criteria.can_fail || !self.endpoints.iter().any(is_due) {
            return None;
        }
        let healthy = self.healthy(criteria, now);
        let due = healthy.into_iter().find(|tracked| is_due(tracked));
        due.map(|tracked| Arc::clone(&tracked.endpoint))
    }

    /// Returns the endpoints to which a request may be sent now and that aren't ejected.
    fn healthy(&self, criteria: &Criteria<'_>, now: Duration) -> Vec<&Tracked> {
        let available: Vec<&Tracked> =
            self.endpoints.iter().filter(|tracked| tracked.is_available(criteria)).collect();
        let mut healthy = self.ejections.without_ejected(criteria.service, available, now);
        healthy.retain(|tracked| tracked.has_permit());
        healthy
    }

    /// Leaves out endpoints that are failing, or may just have ended, as long as others have room. If none
    /// has, all stay.
    fn retain_sound(&self, healthy: &mut Vec<&Tracked>, criteria: &Criteria<'_>, now: Duration) {
        // The listener of a process that ends may take connections a little longer than it serves them.
        let is_unsound = |tracked: &Tracked| {
            tracked.tally.is_failing() || tracked.liveness == Liveness::Doubtful
        };
        if !healthy.iter().any(|tracked| is_unsound(tracked)) {
            return;
        }
        let service = self.endpoints.iter().filter(|tracked| {
            *tracked.endpoint.service == *criteria.service && tracked.takes_requests()
        });
        let loads: Vec<f64> = service.map(|tracked| tracked.occupancy.requests(now)).collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let loads: Vec<failure_rate::Load> = healthy
            .iter()
            .map(|tracked| failure_rate::Load {
                requests: tracked.occupancy.requests(now),
                has_free_slot: tracked.has_free_slot(now),
                is_failing: is_unsound(tracked),
            })
            .collect();
        if let Some(sound) = failure_rate::sound(&loads, mean, criteria.seed) {
            *healthy = sound.into_iter().map(|index| healthy[index]).collect();
        }
    }

    /// Returns the number of endpoints that only an evacuation keeps from getting a request.
    fn evacuated(&self, criteria: &Criteria<'_>) -> usize {
        let is_evacuated = |it: &&Tracked| it.is_evacuated && it.is_usable(criteria);
        self.endpoints.iter().filter(is_evacuated).count()
    }

    /// Returns the address of another endpoint that is likely to have the shared prompt prefix
    /// cached. An endpoint copies only what it lacks, so one that has the prefix copies nothing.
    ///
    /// An endpoint that is leaving still has the prefix; one that fails may not.
    pub(crate) fn copy_source(
        &self,
        criteria: &Criteria<'_>,
        chosen: &Endpoint,
    ) -> Option<SocketAddr> {
        let part = criteria.part.filter(|part| part.tokens >= COPY_MIN_TOKENS)?;
        let is_source = |tracked: &&Tracked| {
            tracked.endpoint.service == chosen.service
                && tracked.missing_until.is_none()
                && !tracked.is_replaced
                && tracked.liveness.is_running(criteria.now)
                && !self.ejections.is_failing(&tracked.endpoint)
        };
        let sources: Vec<&Tracked> = self.endpoints.iter().filter(is_source).collect();
        let names: Vec<&str> = sources.iter().map(|tracked| &*tracked.endpoint.id).collect();
        let source = choice::source(part.id, &chosen.id, &names)?;
        Some(sources[source].endpoint.address)
    }
}

/// Returns the mean requests of the endpoints that aren't held back while they are cold.
fn mean_requests(healthy: &[&Tracked], now: Duration) -> f64 {
    let warm = healthy.iter().filter(|tracked| !tracked.throttle.is_held());
    let requests: Vec<f64> = warm.map(|tracked| tracked.occupancy.requests(now)).collect();
    requests.iter().sum::<f64>() / requests.len().max(1) as f64
}

/// Returns the requests with which an endpoint is compared with the others.
///
/// A cold one looks idle, and counts as having the mean: its few permits are better used by requests
/// whose parts of prompts belong there, as others read them again, than by any that find it idle.
fn requests(tracked: &Tracked, mean: f64, now: Duration) -> f64 {
    let requests = tracked.occupancy.requests(now);
    if tracked.throttle.is_held() { requests.max(mean) } else { requests }
}
