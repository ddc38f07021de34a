//! Which endpoints of a service a request tries, and in which order.
//!
//! A prompt whose parts lie at one endpoint already is read faster there, so
//! requests that share a part prefer the same endpoints in the same order at
//! every process. An endpoint that has far more work than the others is passed
//! over. See `docs/decisions/platform.md`.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::placement::Place;
use crate::placement::place;

/// Endpoints take requests with short parts for the sake of reuse up to this
/// multiple of the mean. It is below the bound that operators set, since what is
/// known lags.
const SHORT_MULTIPLE: f64 = 1.4;

/// The same with parts of [`LONG_TOKENS`] and more.
const LONG_MULTIPLE: f64 = 1.8;

/// Reading a part of so many tokens again delays all requests at its endpoint by
/// about the time between two tokens that clients notice, 30 ms.
const LONG_TOKENS: f64 = 4_000.0;

/// Requests above the multiple that are allowed still, so that idle services reuse too.
const REUSE_SLACK: f64 = 2.5;

/// An endpoint of another data centre counts as so many requests busier, which
/// decides between endpoints that are alike.
const FAR_REQUESTS: f64 = 0.5;

/// An endpoint that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Names it, the same at every process.
    pub name: &'a str,
    /// Requests that it is believed to have.
    pub requests: f64,
    /// Whether it lies in another data centre.
    pub is_far: bool,
}

/// What a choice may rest on.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// The part of the prompt that other requests share, if there is any.
    pub part: Option<u64>,
    /// Its length, in tokens.
    pub tokens: u32,
    /// Where the part was read last, as far as this process knows.
    pub last: Option<Place>,
    /// Random bits, which decide between endpoints that are alike.
    pub seed: u64,
}

/// The order in which candidates are to be tried, as indices into them.
pub fn order(ask: &Ask, candidates: &[Candidate<'_>]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    let by_load = |index: &usize| {
        let candidate = &candidates[*index];
        let far = if candidate.is_far { FAR_REQUESTS } else { 0.0 };
        candidate.requests + far
    };
    let draw = |index: &usize| xxh3_64_with_seed(candidates[*index].name.as_bytes(), ask.seed);
    order.sort_by(|left, right| {
        by_load(left).total_cmp(&by_load(right)).then_with(|| draw(left).cmp(&draw(right)))
    });
    if let Some(home) = home(ask, candidates) {
        lead_with(home, &mut order);
    }
    order
}

/// Where the part lies, or else the first endpoint along its hash, if that one is
/// not far busier than the others.
fn home(ask: &Ask, candidates: &[Candidate<'_>]) -> Option<usize> {
    let part = ask.part?;
    let total: f64 = candidates.iter().map(|candidate| candidate.requests).sum();
    let mean = total / candidates.len().max(1) as f64;
    let length = (f64::from(ask.tokens) / LONG_TOKENS).min(1.0);
    let multiple = SHORT_MULTIPLE + (LONG_MULTIPLE - SHORT_MULTIPLE) * length;
    let most = mean * multiple + REUSE_SLACK;
    let is_open = |index: &usize| candidates[*index].requests <= most;
    let is_last = |index: &usize| ask.last == Some(place(candidates[*index].name));
    let last = (0..candidates.len()).find(|index| is_last(index) && is_open(index));
    let score = |index: &usize| xxh3_64_with_seed(candidates[*index].name.as_bytes(), part);
    last.or_else(|| (0..candidates.len()).filter(is_open).max_by_key(score))
}

fn lead_with(first: usize, order: &mut [usize]) {
    let found = order.iter().position(|index| *index == first);
    if let Some(found) = found {
        order[..=found].rotate_right(1);
    }
}
