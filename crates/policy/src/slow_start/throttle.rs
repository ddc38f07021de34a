//! The permits of one gateway for one endpoint while it is cold.

use std::time::Duration;

use crate::exchange::REPORT_TTL;
use crate::quarantine::StartId;
use crate::rate_limit::Bucket;
use crate::rate_limit::Row;
use crate::rate_limit::SPAN;
use crate::rate_limit::Window;
use crate::slow_start::Announced;
use crate::slow_start::Known;
use crate::slow_start::Rules;
use crate::slow_start::Term;

/// Part of the rate that is divided equally, whatever the traffic, so that a gateway to which
/// clients have only come now can send something.
const EQUAL_SHARE: f64 = 0.2;

/// For this time after an endpoint is known to be cold, its rate is divided equally: not all
/// gateways know it yet, and those that don't report no traffic. It is the time that two exchanges
/// and an announcement through a relay take.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Least part of the rate that is sent at the beginning of [`SETTLE_TIME`] to an endpoint that has
/// served before. It grows to the whole: gateways that don't know it yet send as before meanwhile.
const MIN_SETTLED: f64 = 0.1;

/// Each gateway counts as having so many requests more than it had, so that the first requests after
/// a quiet time don't give each gateway all of the rate.
const PRIOR_REQUESTS: f64 = 4.0;

/// An unused permit is kept for the time of this many requests of the gateway, so that one of them
/// can use it. With fewer most permits of a large fleet lapse; with more the rate has to be lower,
/// as permits that were kept may come at once.
const VALIDITY_REQUESTS: f64 = 2.5;

/// Shortest time for which an unused permit is kept, in seconds.
const MIN_VALIDITY_S: f64 = 0.1;

/// Longest time for which an unused permit is kept, in seconds.
const MAX_VALIDITY_S: f64 = 1.0;

/// Age in reports of gateways that know only from others that an endpoint is cold. It is older than
/// the word of any gateway that knows it from the endpoint, which counts therefore.
const HEARSAY_AGE: Duration = Duration::from_secs(3_600);

/// Bits of a seed that make up a phase from 0 to 1.
const PHASE_BITS: u32 = 24;

/// The begin or the end of the time in which an endpoint is held back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Turn {
    /// Whether it is held back from now on.
    pub is_held: bool,
    /// What is known of its cold time.
    pub known: Known,
    /// Permits per second of this gateway.
    pub rate: f64,
    /// Requests that this gateway sent to it in the latest [`crate::rate_limit::SPAN`].
    pub sent: u32,
}

/// What this gateway sends to an endpoint while it is cold, and for a while after.
#[derive(Debug, Clone)]
pub struct Throttle {
    endpoint: StartId,
    /// Point between two permits at which the first one is due, from 0 to 1.
    phase: f64,
    term: Term,
    /// When the cold time began for which it is held back; `None` while it gets requests without
    /// permits.
    held: Option<Duration>,
    /// Whether it has been known as warm.
    has_served: bool,
    bucket: Bucket,
    /// Permits per second at the last refill.
    rate: f64,
    /// What a cold endpoint takes from all gateways together, in requests per second.
    max_rate: f64,
    /// When it needs no more permits.
    released: Duration,
    sent: Window,
    others: Option<Others>,
    /// This gateway's requests at the last exchange.
    wanted: u32,
}

/// What the other gateways reported.
#[derive(Debug, Clone, Copy)]
struct Others {
    wanted: u32,
    gateways: u32,
    /// This gateway's own requests at the time of those that were reported.
    own: u32,
    at: Duration,
}

impl Throttle {
    /// Creates the throttle of an endpoint that is not known to be cold. The seed, which has to be
    /// another one at each gateway, spreads the permits of different gateways over time.
    pub fn new(endpoint: StartId, seed: u64) -> Throttle {
        let bits = (seed ^ endpoint).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (64 - PHASE_BITS);
        Throttle {
            endpoint,
            phase: bits as f64 / f64::from(1u32 << PHASE_BITS),
            term: Term::default(),
            held: None,
            has_served: false,
            bucket: Bucket::default(),
            rate: 0.0,
            max_rate: 0.0,
            released: Duration::ZERO,
            sent: Window::default(),
            others: None,
            wanted: 0,
        }
    }

    /// Records an announcement of the endpoint.
    pub fn announce(&mut self, announced: Announced, now: Duration) {
        self.term.announce(announced, now);
        self.has_served |= announced.left.is_zero();
    }

    /// Records a response that said how much longer the endpoint is cold.
    pub fn respond(&mut self, left: Duration, now: Duration) {
        self.term.respond(left, now);
    }

    /// Records what the other gateways reported of the endpoint, `None` if nothing, and the number
    /// of these gateways. `wanted` is the number of this gateway's requests for the service in the
    /// latest [`crate::rate_limit::SPAN`].
    pub fn learn(&mut self, row: Option<&Row>, gateways: u32, wanted: u32, now: Duration) {
        // Reports are about one interval old.
        let own = std::mem::replace(&mut self.wanted, wanted);
        let others = row.map_or(0, |row| row.wanted);
        self.others = Some(Others { wanted: others, gateways, own, at: now });
        if row.is_some_and(|row| row.max_rate.is_some()) {
            self.term.report(now);
        }
    }

    /// Returns what this gateway tells others, with its requests for the service in the latest
    /// [`crate::rate_limit::SPAN`]; `None` while the endpoint isn't held back.
    pub fn row(&self, wanted: u32, now: Duration) -> Option<Row> {
        self.held?;
        let is_cold = self.term.is_cold(now);
        Some(Row {
            endpoint: self.endpoint,
            max_rate: is_cold.then_some(self.max_rate),
            age: if is_cold { Duration::ZERO } else { HEARSAY_AGE },
            sent: self.sent.count(now),
            wanted,
        })
    }

    /// Updates the permits. `rules` are those of its service, if that has a slow start; `wanted` is
    /// the number of this gateway's requests for the service in the latest
    /// [`crate::rate_limit::SPAN`], and `registered` that of all gateways.
    ///
    /// Returns what is known if the endpoint is held back or released from now on.
    pub fn refill(
        &mut self,
        rules: Option<&Rules>,
        wanted: u32,
        registered: u32,
        now: Duration,
    ) -> Option<Turn> {
        let known = self.term.known()?;
        let was_held = self.held.is_some();
        let growth = rules.and_then(|rules| rules.growth(now.saturating_sub(known.until)));
        let Some((rules, growth)) = rules.zip(growth) else {
            self.held = None;
            self.has_served = true;
            return was_held.then(|| self.turn(known, now));
        };
        let begun = self.term.begun();
        let is_new = self.held != begun;
        if is_new {
            // It may turn cold again while its rate still grows.
            self.has_served |= was_held;
            // Nothing was saved up before.
            self.held = begun;
            self.bucket = Bucket::new(self.phase);
            self.bucket.refill(0.0, 0.0, begun.unwrap_or(now));
        }
        let others = self.others.filter(|others| now.saturating_sub(others.at) < REPORT_TTL);
        let reported = others.map_or(0, |others| others.gateways).saturating_add(1);
        let gateways = registered.max(reported);
        let equal = 1.0 / f64::from(gateways);
        let held_for = self.held.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let settled = held_for.as_secs_f64() / SETTLE_TIME.as_secs_f64();
        let settling = if self.has_served { settled.clamp(MIN_SETTLED, 1.0) } else { 1.0 };
        let by_traffic = others.filter(|_| settled >= 1.0).map_or(equal, |others| {
            let own = f64::from(others.own.min(wanted)) + PRIOR_REQUESTS;
            let total = f64::from(others.own) + f64::from(others.wanted);
            let total = total + PRIOR_REQUESTS * f64::from(reported);
            // Gateways of which nothing is known are taken to have as much traffic.
            own / total * f64::from(reported) * equal
        });
        let share = EQUAL_SHARE * equal + (1.0 - EQUAL_SHARE) * by_traffic;
        self.max_rate = rules.per_s;
        self.released = known.until.saturating_add(rules.growth_time());
        let interval = SPAN.as_secs_f64() / f64::from(wanted.max(1));
        let validity = (VALIDITY_REQUESTS * interval).clamp(MIN_VALIDITY_S, MAX_VALIDITY_S);
        let validity = Duration::from_secs_f64(validity);
        self.rate = rules.rate(gateways, validity) * share * settling * growth;
        self.bucket.refill(self.rate, self.rate * validity.as_secs_f64(), now);
        is_new.then(|| self.turn(known, now))
    }

    /// Whether the endpoint is held back, as of the last [`Throttle::refill`].
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Whether a request may be sent to the endpoint, as of the last [`Throttle::refill`].
    pub fn allows(&self) -> bool {
        !self.is_held() || self.bucket.has_permit()
    }

    /// Counts a request that is sent to the endpoint.
    pub fn record_sent(&mut self, now: Duration) {
        self.sent.add(now);
        if self.is_held() {
            self.bucket.take();
        }
    }

    /// Returns the time until this gateway may send a request, if it gets none before, and its
    /// permits per second, as of the last [`Throttle::refill`]; `None` if it isn't held back.
    pub fn next_permit(&self, now: Duration) -> Option<(Duration, f64)> {
        let wait = self.bucket.wait(self.rate).min(self.released.saturating_sub(now));
        self.is_held().then_some((wait, self.rate))
    }

    fn turn(&self, known: Known, now: Duration) -> Turn {
        Turn { is_held: self.is_held(), known, rate: self.rate, sent: self.sent.count(now) }
    }
}
