//! The limit of one endpoint, as one gateway keeps to it.

use std::time::Duration;

use crate::exchange::REPORT_TTL;
use crate::quarantine::StartId;
use crate::rate_limit::Bucket;
use crate::rate_limit::MAX_RATE;
use crate::rate_limit::MIN_RATE;
use crate::rate_limit::Row;
use crate::rate_limit::SPAN;
use crate::rate_limit::Window;

/// For this time a gateway tells others that a limit has ended.
const ENDED_TTL: Duration = Duration::from_secs(2);

/// Part of a limit that is divided equally, whatever the traffic, so that a gateway to which clients
/// have only come now can send something.
const EQUAL_SHARE: f64 = 0.2;

/// A limit is refilled faster while less than it is sent, since permits lapse where nobody needs
/// them: by this multiple of the share that is missing, up to [`MAX_BOOST`].
const BOOST_GAIN: f64 = 4.0;

/// See [`BOOST_GAIN`].
const MAX_BOOST: f64 = 1.4;

/// An unused permit is kept for the time of this many requests of the gateway, so that one of them
/// can use it.
const VALIDITY_REQUESTS: f64 = 6.0;

/// Shortest time for which an unused permit is kept, in seconds.
const MIN_VALIDITY_S: f64 = 0.5;

/// Longest time for which an unused permit is kept, in seconds.
const MAX_VALIDITY_S: f64 = 4.0;

/// Idle gateways together may send this many requests at once, and what the limit allows in
/// [`IDLE_BURST_S`].
const IDLE_BURST: f64 = 1.0;

/// See [`IDLE_BURST`]; in seconds.
const IDLE_BURST_S: f64 = 0.5;

/// Nothing more is sent while the requests of [`SPAN`] exceed the limit by this share of it and by
/// [`MAX_EXCESS_REQUESTS`]. What gateways send before they hear of each other comes on top.
const MAX_EXCESS: f64 = 0.1;

/// See [`MAX_EXCESS`].
const MAX_EXCESS_REQUESTS: f64 = 1.5;

/// Bits of a seed that make up a phase from 0 to 1.
const PHASE_BITS: u32 = 24;

/// The limit that an endpoint names, and this gateway's part of it.
#[derive(Debug, Clone)]
pub struct Limiter {
    endpoint: StartId,
    /// Point between two permits at which the first one is due, from 0 to 1.
    phase: f64,
    /// The latest word of the endpoint: its limit, in requests per second, if it has one.
    named: Option<(Option<f64>, Duration)>,
    /// When the latest limit ended.
    ended: Option<Duration>,
    bucket: Bucket,
    /// Permits per second at the last refill.
    rate: f64,
    /// Requests that the fleet has sent lately beyond the most that it may; nothing more may be sent
    /// unless it is negative.
    excess: f64,
    sent: Window,
    others: Option<Others>,
}

/// What the other gateways reported.
#[derive(Debug, Clone, Copy)]
struct Others {
    sent: u32,
    wanted: u32,
    gateways: u32,
    at: Duration,
}

impl Limiter {
    /// Creates the limiter of an endpoint that has not named a limit. The seed, which has to be
    /// another one at each gateway, spreads the permits of different gateways over time.
    pub fn new(endpoint: StartId, seed: u64) -> Limiter {
        let bits = (seed ^ endpoint).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (64 - PHASE_BITS);
        Limiter {
            endpoint,
            phase: bits as f64 / f64::from(1u32 << PHASE_BITS),
            named: None,
            ended: None,
            bucket: Bucket::default(),
            rate: 0.0,
            excess: f64::NEG_INFINITY,
            sent: Window::default(),
            others: None,
        }
    }

    /// Returns the limit in requests per second; `None` if there is none.
    pub fn max_rate(&self) -> Option<f64> {
        self.named?.0
    }

    /// Records the limit that the endpoint named in a response of now. Returns whether it changed.
    pub fn set_max_rate(&mut self, max_rate: Option<f64>, now: Duration) -> bool {
        let before = self.max_rate();
        if before.is_none() && max_rate.is_some() {
            // Requests from before the limit were in order.
            self.sent = Window::default();
            self.bucket = Bucket::new(self.phase);
        }
        if before.is_some() && max_rate.is_none() {
            self.ended = Some(now);
        }
        self.named = Some((max_rate, now));
        before != max_rate
    }

    /// Records what the other gateways reported of the endpoint, `None` if nothing, and the number
    /// of these gateways. Returns whether the limit changed.
    pub fn learn(&mut self, row: Option<&Row>, gateways: u32, now: Duration) -> bool {
        let (sent, wanted) = row.map_or((0, 0), |row| (row.sent, row.wanted));
        self.others = Some(Others { sent, wanted, gateways, at: now });
        let Some(row) = row else { return false };
        let at = now.saturating_sub(row.age);
        if self.named.is_some_and(|(_, known)| at <= known) {
            return false;
        }
        let is_changed = self.set_max_rate(row.max_rate, now);
        self.named = Some((row.max_rate, at));
        is_changed
    }

    /// Returns what this gateway tells others, with its requests for the service in the latest
    /// [`SPAN`]; `None` if the endpoint has no limit and had none lately.
    pub fn row(&self, wanted: u32, now: Duration) -> Option<Row> {
        let (max_rate, at) = self.named?;
        let has_ended = self.ended.is_some_and(|ended| now.saturating_sub(ended) < ENDED_TTL);
        let (age, sent) = (now.saturating_sub(at), self.sent.count(now));
        let row = Row { endpoint: self.endpoint, max_rate, age, sent, wanted };
        (max_rate.is_some() || has_ended).then_some(row)
    }

    /// Updates the permits. `wanted` is the number of this gateway's requests for the service in
    /// the latest [`SPAN`], and `registered` that of all gateways.
    pub fn refill(&mut self, wanted: u32, registered: u32, now: Duration) {
        let Some(max_rate) = self.max_rate() else { return };
        let max_rate = max_rate.clamp(MIN_RATE, MAX_RATE);
        let others = self.others.filter(|others| now.saturating_sub(others.at) < REPORT_TTL);
        let known = f64::from(others.map_or(0, |others| others.gateways)) + 1.0;
        // Gateways of which nothing is known are taken to have as much traffic as the known ones.
        let all = f64::from(registered).max(known);
        let coverage = known / all;
        let own = f64::from(wanted);
        let total = own + others.map_or(0.0, |others| f64::from(others.wanted));
        let by_traffic = if total > 0.0 { own / total } else { 1.0 / known };
        let share = coverage * (EQUAL_SHARE / known + (1.0 - EQUAL_SHARE) * by_traffic);

        let sent =
            f64::from(self.sent.count(now)) + others.map_or(0.0, |others| f64::from(others.sent));
        let due = max_rate * SPAN.as_secs_f64() * coverage;
        let boost = (1.0 + BOOST_GAIN * (1.0 - sent / due)).clamp(1.0, MAX_BOOST);
        self.rate = max_rate * share * boost;
        let interval = SPAN.as_secs_f64() / own.max(1.0);
        let validity = (VALIDITY_REQUESTS * interval).clamp(MIN_VALIDITY_S, MAX_VALIDITY_S);
        let idle_depth = (IDLE_BURST + max_rate * IDLE_BURST_S) / all;
        self.bucket.refill(self.rate, idle_depth.max(self.rate * validity), now);
        self.excess = sent - due * (1.0 + MAX_EXCESS) - MAX_EXCESS_REQUESTS;
    }

    /// Whether a request may be sent to the endpoint, as of the last [`Limiter::refill`].
    pub fn allows(&self) -> bool {
        self.max_rate().is_none() || (self.excess < 0.0 && self.bucket.has_permit())
    }

    /// Counts a request that is sent to the endpoint.
    pub fn record_sent(&mut self, now: Duration) {
        if self.max_rate().is_some() {
            self.sent.add(now);
            self.bucket.take();
        }
    }

    /// Returns the time until this gateway may send a request, if it gets none before, and its
    /// permits per second, as of the last [`Limiter::refill`].
    pub fn next_permit(&self) -> (Duration, f64) {
        let max_rate = self.max_rate().unwrap_or_default().clamp(MIN_RATE, MAX_RATE);
        // Requests leave the span as fast as they were sent, about at the limit.
        let over = if self.excess < 0.0 { 0.0 } else { (self.excess + 1.0) / max_rate };
        let over = Duration::try_from_secs_f64(over).unwrap_or(Duration::MAX);
        (self.bucket.wait(self.rate).max(over), self.rate)
    }
}
