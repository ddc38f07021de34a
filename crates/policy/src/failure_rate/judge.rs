//! Which endpoints of a service are failing.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::failure_rate::Counts;
use crate::failure_rate::MARGIN;
use crate::failure_rate::Tally;

/// Quantile of the normal distribution for the lower bound of a share: one of 20 such bounds is above
/// the true share.
const LOWER_Z: f64 = -1.65;

/// The same for the upper bound of the share of the best endpoints: one of 6 is below the true share.
const UPPER_Z: f64 = 1.0;

/// The best endpoints are one in this many. A fault has left a fifth of the endpoints sound.
const BEST_ONE_IN: usize = 5;

/// Fewest failures for which an endpoint is avoided: a single one may be the request's own fault.
const MIN_FAILURES: u32 = 2;

/// The same for what this gateway alone has seen, while the sum says otherwise.
const MIN_OWN_FAILURES: u32 = 3;

/// Requests without a failure that are added before endpoints are sorted by their shares, so that
/// one request is not taken for a share of 0 or 1.
const PRIOR_REQUESTS: f64 = 2.0;

/// Interval between the requests that all gateways together send to a failing endpoint. In a span
/// an endpoint that still fails 45 in 100 shows so with 97 in 100 spans.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Trials of failing endpoints by one gateway.
#[derive(Debug, Clone, Copy)]
pub struct Trials {
    /// Number of gateways, among which the trials are divided.
    pub gateways: u32,
    /// Random bits, so that gateways don't send at the same moment.
    pub seed: u64,
}

impl Trials {
    /// Returns the time between two trials of an endpoint by this gateway.
    pub fn interval(&self) -> Duration {
        TRIAL_INTERVAL.saturating_mul(self.gateways.max(1))
    }

    /// Returns the time to the first trial of the endpoint at an index.
    fn first(&self, index: usize) -> Duration {
        let bits = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        self.interval().mul_f64(bits as f64 / u64::MAX as f64)
    }
}

/// An endpoint that is taken for failing from now on, or no longer is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Its index among those of the service.
    pub index: usize,
    /// Whether it is failing now.
    pub is_failing: bool,
    /// Requests of this gateway.
    pub own: Counts,
    /// Requests of the other gateways.
    pub others: Counts,
    /// The share of failures of the best endpoints, by its upper bound.
    pub best: f64,
}

/// Updates which endpoints of a service are failing, and returns those that changed.
///
/// An endpoint begins to be failing if a cautious estimate of its share of failures, the lower
/// bound of its confidence interval, is clearly above the share of the best ones. It stays so
/// while the share itself is, since from then on it gets few requests.
pub fn judge(tallies: &mut [&mut Tally], trials: Trials, now: Duration) -> Vec<Change> {
    let counts: Vec<(Counts, Counts)> =
        tallies.iter().map(|tally| (tally.own(now), tally.others(now))).collect();
    let has_failed = |(own, others): &(Counts, Counts)| own.failures > 0 || others.failures > 0;
    if !counts.iter().any(has_failed) && !tallies.iter().any(|tally| tally.is_failing) {
        return Vec::new();
    }
    let best = best_share(counts.iter().map(|(own, others)| own.plus(*others)).collect());
    let mut changes = Vec::new();
    for (index, (tally, (own, others))) in tallies.iter_mut().zip(counts).enumerate() {
        let all = own.plus(others);
        let is_failing = if tally.is_failing {
            is_above(all, 1, best, Counts::share)
                || is_above(own, MIN_OWN_FAILURES, best, Counts::share)
        } else {
            // What others report can't make it look better than what this gateway has seen.
            is_above(all, MIN_FAILURES, best, lower_bound)
                || is_above(own, MIN_OWN_FAILURES, best, lower_bound)
        };
        if is_failing == tally.is_failing {
            continue;
        }
        tally.is_failing = is_failing;
        tally.next_trial = now.saturating_add(trials.first(index));
        changes.push(Change { index, is_failing, own, others, best });
    }
    changes
}

/// Whether an estimate of the share of failures is clearly above that of the best endpoints.
fn is_above(
    counts: Counts,
    min_failures: u32,
    best: f64,
    estimate: impl Fn(Counts) -> f64,
) -> bool {
    counts.failures >= min_failures && estimate(counts) > best + MARGIN
}

/// Returns the upper bound of the share of failures of the best endpoints together.
///
/// Other gateways don't tell their requests at endpoints that have not failed lately. There are
/// likely as many as at the others, as load is evenly spread.
fn best_share(mut counts: Vec<Counts>) -> f64 {
    let failed = || counts.iter().filter(|it| it.failures > 0).map(|it| it.requests);
    let mean = failed().fold(0, u32::saturating_add) / failed().count().max(1) as u32;
    for count in counts.iter_mut().filter(|it| it.failures == 0) {
        count.requests = count.requests.max(mean);
    }
    let rank = |it: &Counts| f64::from(it.failures) / (f64::from(it.requests) + PRIOR_REQUESTS);
    counts.sort_by(|left, right| rank(left).total_cmp(&rank(right)));
    let best = (counts.len() / BEST_ONE_IN).max(1);
    bound(counts.into_iter().take(best).fold(Counts::default(), Counts::plus), UPPER_Z)
}

fn lower_bound(counts: Counts) -> f64 {
    bound(counts, LOWER_Z)
}

/// Returns a bound of the confidence interval of a share of failures (Wilson, 1927).
fn bound(counts: Counts, z: f64) -> f64 {
    let requests = f64::from(counts.requests.max(1));
    let share = counts.share();
    let squared = z * z / requests;
    let half = z * (share * (1.0 - share) / requests + squared / (4.0 * requests)).sqrt();
    (share + squared / 2.0 + half) / (1.0 + squared)
}
