//! Which endpoints of a service a request tries, and in which order.
//!
//! A prompt whose parts lie at one endpoint already is read faster there, so
//! requests that share a part prefer the same endpoints in the same order at
//! every process. An endpoint that has far more work than the others is passed
//! over. See `docs/decisions/platform.md`.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Endpoints take work for the sake of reuse up to this multiple of the mean.
/// It is below the bound that operators set, since what is known lags.
const REUSE_MULTIPLE: f64 = 1.7;

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
    let Some(part) = ask.part else { return order };
    if let Some(home) = home(part, candidates) {
        lead_with(home, &mut order);
    }
    order
}

/// The first endpoint along the part's hash that is not far busier than the others.
fn home(part: u64, candidates: &[Candidate<'_>]) -> Option<usize> {
    let total: f64 = candidates.iter().map(|candidate| candidate.requests).sum();
    let mean = total / candidates.len().max(1) as f64;
    let most = mean * REUSE_MULTIPLE + REUSE_SLACK;
    let score = |index: &usize| xxh3_64_with_seed(candidates[*index].name.as_bytes(), part);
    let open = (0..candidates.len()).filter(|index| candidates[*index].requests <= most);
    open.max_by_key(score)
}

fn lead_with(first: usize, order: &mut [usize]) {
    let found = order.iter().position(|index| *index == first);
    if let Some(found) = found {
        order[..=found].rotate_right(1);
    }
}
