//! The order in which a request tries the endpoints of a service.
//!
//! An endpoint that has parts of a prompt cached reads the prompt faster, so
//! requests that share a part prefer the same endpoints in the same order at
//! every process (rendezvous hashing). An endpoint that has far more work than
//! the others is skipped. Loads are compared relative to the endpoints' speeds; the
//! load bound is by count, whatever the speed.
//!
//! The order depends only on the part and the endpoints' names. What a process
//! has sent earlier is left out on purpose: each process of a large fleet sees
//! few of a part's requests, and would scatter the part over other endpoints
//! than the other processes do. See `docs/decisions/platform.md`.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::spread;

/// Endpoints are preferred for the reuse of short parts up to this multiple of
/// the mean load. It is below the operators' load bound, since known loads lag.
const SHORT_PART_LOAD_MULTIPLE: f64 = 1.4;

/// The same for parts of [`LONG_PART_TOKENS`] and more; between them it is interpolated.
const LONG_PART_LOAD_MULTIPLE: f64 = 1.8;

/// Reading a part of this length again delays all requests at the endpoint by
/// about 30 ms, a gap between two tokens that clients notice.
const LONG_PART_TOKENS: f64 = 4_000.0;

/// Requests allowed above the multiple, so that idle services reuse parts too.
const REUSE_SLACK_REQUESTS: f64 = 2.5;

/// An endpoint is preferred for the reuse of short parts while at least this share of its slots is
/// free. Copying a part takes milliseconds, and waiting for a slot a hundred of them.
const MIN_FREE_SLOTS: f64 = 0.1;

/// When most endpoints have no free slot left, one is preferred for short parts up to this
/// multiple of the mean load and [`FULL_SLACK_REQUESTS`] more, so that none has a long queue
/// while others have a short one.
const FULL_LOAD_MULTIPLE: f64 = 1.15;

/// See [`FULL_LOAD_MULTIPLE`].
const FULL_SLACK_REQUESTS: f64 = 1.0;

/// Requests with one part are spread over so many endpoints that they add at most this multiple of
/// the mean load to each.
const MAX_SHARE_OF_MEAN: f64 = 0.5;

/// An endpoint in another data centre counts as this many requests busier, which
/// breaks ties between equally loaded endpoints.
const FAR_PENALTY_REQUESTS: f64 = 0.5;

/// An endpoint that can take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its name, the same at every process.
    pub name: &'a str,
    /// Estimated number of its requests.
    pub requests: f64,
    /// Requests that it processes at the same time, if it announces that; more have to wait.
    pub slots: Option<u32>,
    /// How fast it works, relative to the other endpoints of the service ([`crate::speed`]): 1 if
    /// it doesn't differ from them.
    pub speed: f64,
    /// Whether it is in another data centre.
    pub is_far: bool,
    /// Whether it limits the rate of requests, and one may be sent to it now.
    pub is_limited: bool,
}

/// The request's properties from which endpoints are ordered.
#[derive(Debug, Clone, Copy)]
pub struct Query {
    /// The id of the prompt's part that other requests share, if there is any.
    pub part: Option<u64>,
    /// Its length, in tokens.
    pub tokens: u32,
    /// Share of recent requests that have the part, from 0 to 1.
    pub share: f64,
    /// Requests that other gateways are expected to have sent since the loads were known, or 0 to
    /// take the loads as current.
    pub unseen: f64,
    /// Endpoints of the service that are no candidates and have no requests, as those of evacuated
    /// data centres. They count for the mean load, which the operators' load bound refers to.
    pub idle: usize,
    /// Random bits, which break ties between equally loaded endpoints.
    pub seed: u64,
}

/// Returns the order in which to try the candidates, as indices into them.
pub fn order(query: &Query, candidates: &[Candidate<'_>]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    let bound = load_bound(query, candidates);
    let load = |candidate: &Candidate<'_>| {
        let penalty = if candidate.is_far { FAR_PENALTY_REQUESTS } else { 0.0 };
        let is_above = candidate.requests > bound;
        (is_above, (candidate.requests + penalty) / candidate.speed)
    };
    let loads: Vec<(bool, f64)> = candidates.iter().map(load).collect();
    let tie_break =
        |index: &usize| xxh3_64_with_seed(candidates[*index].name.as_bytes(), query.seed);
    // Idle endpoints are drawn in proportion to their speeds, so that a slow one gets few requests
    // and not none.
    let draw = |index: &usize| {
        let uniform = tie_break(index) as f64 / u64::MAX as f64;
        -(-uniform).ln_1p() / candidates[*index].speed
    };
    order.sort_by(|left, right| {
        let ((left_above, left_load), (right_above, right_load)) = (loads[*left], loads[*right]);
        let by_load = left_above.cmp(&right_above).then(left_load.total_cmp(&right_load));
        by_load
            .then_with(|| draw(left).total_cmp(&draw(right)))
            .then_with(|| tie_break(left).cmp(&tie_break(right)))
    });
    if query.part.is_none() {
        // Requests with parts have homes, and read them again wherever else they go, so that fewer other
        // endpoints are better for them.
        // Loads that are known late are spread up to the operators' load bound, not beyond.
        let max_requests = max_load(query, candidates);
        let bounded = |(candidate, (_, load)): (&Candidate<'_>, &(bool, f64))| {
            if candidate.requests > max_requests { f64::INFINITY } else { *load }
        };
        let bounded: Vec<f64> = candidates.iter().zip(&loads).map(bounded).collect();
        if let Some(drawn) = spread::draw(&bounded, query.unseen, query.seed) {
            move_to_front(drawn, &mut order);
        }
    }
    if let Some(preferred) = preferred(query, candidates) {
        move_to_front(preferred, &mut order);
    }
    // A permit for a limited endpoint lapses if it isn't used, so that endpoint is chosen before one
    // at which the request has to wait.
    let spare =
        |index: &&usize| candidates[**index].is_limited && has_free_slot(&candidates[**index]);
    let is_full = order.first().is_some_and(|first| !has_free_slot(&candidates[*first]));
    if let Some(spare) = order.iter().find(spare).copied().filter(|_| is_full) {
        move_to_front(spare, &mut order);
    }
    order
}

/// Whether a request that is sent to an endpoint need not wait for a slot.
fn has_free_slot(candidate: &Candidate<'_>) -> bool {
    candidate.requests / candidate.speed.min(1.0) <= free_slots(candidate.slots.map(f64::from))
}

/// Returns the most requests with which an endpoint is chosen for its speed. Endpoints of equal speed
/// have no such bound, since the least loaded one is never above it.
fn load_bound(query: &Query, candidates: &[Candidate<'_>]) -> f64 {
    if candidates.iter().all(|candidate| candidate.speed == 1.0) {
        return f64::INFINITY;
    }
    max_load(query, candidates)
}

/// Returns the most requests with which an endpoint is chosen for anything but its low load.
fn max_load(query: &Query, candidates: &[Candidate<'_>]) -> f64 {
    let total: f64 = candidates.iter().map(|candidate| candidate.requests).sum();
    let mean = total / (candidates.len() + query.idle).max(1) as f64;
    mean * LONG_PART_LOAD_MULTIPLE + REUSE_SLACK_REQUESTS
}

/// Returns the requests with which an endpoint of speed 1 still has slots to spare.
fn free_slots(slots: Option<f64>) -> f64 {
    slots.map_or(f64::INFINITY, |slots| slots * (1.0 - MIN_FREE_SLOTS))
}

/// Returns the endpoint that a process may copy a part from for the endpoint
/// `chosen`, as an index into `names`.
///
/// It is the one that most requests with the part are sent to, or the one that
/// they were sent to before `chosen` was added. Returns `None` if there is no other.
pub fn source(part: u64, chosen: &str, names: &[&str]) -> Option<usize> {
    let others = (0..names.len()).filter(|index| names[*index] != chosen);
    others.max_by_key(|index| affinity(names[*index], part))
}

/// Returns the endpoint with the highest affinity to the part among those that
/// aren't too busy. A popular part has several endpoints, one of which is drawn.
fn preferred(query: &Query, candidates: &[Candidate<'_>]) -> Option<usize> {
    let part = query.part?;
    let total: f64 = candidates.iter().map(|candidate| candidate.requests).sum();
    let capacity: f64 = candidates.iter().map(|candidate| candidate.speed).sum();
    let capacity = capacity + query.idle as f64;
    // The load at which all endpoints are equally busy.
    let mean = if capacity > 0.0 { total / capacity } else { 0.0 };
    let bound = load_bound(query, candidates);
    let has_room = |index: &usize| {
        let candidate = &candidates[*index];
        let slots = candidate.slots.map(f64::from);
        // A fast endpoint has no more slots than it announces.
        let slots = slots.map(|slots| slots * candidate.speed.min(1.0) / candidate.speed);
        candidate.requests / candidate.speed <= max_requests(query.tokens, mean, slots)
            && candidate.requests <= bound
    };
    let mut ranked: Vec<usize> = (0..candidates.len()).collect();
    ranked.sort_by_cached_key(|index| Reverse(affinity(candidates[*index].name, part)));
    let replicas = replicas(query.share, candidates.len(), total).min(ranked.len());
    ranked[..replicas].rotate_left((query.seed % replicas.max(1) as u64) as usize);
    ranked.into_iter().find(has_room)
}

/// Returns the most requests with which an endpoint is preferred for the reuse of a part, given
/// the mean load and the endpoint's slots, all as at an endpoint of speed 1.
///
/// A short part is read again sooner than a slot gets free, a long one is not: it would delay all
/// requests at the other endpoint, and push other parts out of its cache.
fn max_requests(tokens: u32, mean: f64, slots: Option<f64>) -> f64 {
    let long = mean * LONG_PART_LOAD_MULTIPLE + REUSE_SLACK_REQUESTS;
    let free = free_slots(slots);
    let full = mean * FULL_LOAD_MULTIPLE + FULL_SLACK_REQUESTS;
    let short = (mean * SHORT_PART_LOAD_MULTIPLE + REUSE_SLACK_REQUESTS).min(free.max(full));
    let long_fraction = (f64::from(tokens) / LONG_PART_TOKENS).min(1.0);
    short + (long - short) * long_fraction
}

/// Returns the number of endpoints among which the requests of a part are spread.
///
/// `requests` is the number of all requests in flight. While a part has no more than one of
/// them, one endpoint can take it.
fn replicas(share: f64, endpoints: usize, requests: f64) -> usize {
    // With all requests spread evenly, a part with this share has as many of them in flight as
    // this many endpoints at the mean load.
    let whole_endpoints = share * endpoints as f64;
    let in_flight = share * requests;
    1 + (whole_endpoints / MAX_SHARE_OF_MEAN).min(in_flight) as usize
}

/// Returns the affinity of an endpoint to a part, the same at every process.
fn affinity(name: &str, part: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), part)
}

fn move_to_front(first: usize, order: &mut [usize]) {
    let found = order.iter().position(|index| *index == first);
    if let Some(found) = found {
        order[..=found].rotate_right(1);
    }
}
