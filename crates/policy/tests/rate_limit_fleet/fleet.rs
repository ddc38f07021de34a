//! A model of gateways that send requests to limited endpoints and tell each other of them.
//!
//! All times are in milliseconds.

use std::time::Duration;

use policy::exchange::Additive;
use policy::rate_limit::Ledger;
use policy::rate_limit::Limiter;
use policy::rate_limit::Report;
use policy::rate_limit::Usage;
use policy::rate_limit::Window;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

/// Interval between exchanges, the longest transit of a message, and the share that is lost.
const EXCHANGE: u64 = 250;
const MAX_TRANSIT: u64 = 40;
const LOST: f64 = 0.05;

/// Time from a request to the endpoint's response.
const RESPONSE: u64 = 60;

/// When endpoints begin to name limits, and the time after which they are held to.
const NAMED: u64 = 2_000;
const CONTACT: u64 = 3_000;

/// Time after which a gateway that passed on a limit is held to it.
const TOLD: u64 = 500;

/// Spans of this length are checked: in each of them one and a half times the limit and some
/// requests are allowed.
const SPAN: u64 = 4_000;
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Length of a step.
const STEP: u64 = 5;

#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub gateways: usize,
    /// Gateways of a data centre; the first one is its hub.
    pub centre: usize,
    pub endpoints: usize,
}

#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Limit of each endpoint in requests per second.
    pub rate: f64,
    /// Requests for each one that the limits allow.
    pub pressure: f64,
    /// Whether some gateways get many times the requests of others.
    pub is_uneven: bool,
}

/// What happens besides the requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    None,
    /// Few requests come until the twelfth second.
    Burst,
    /// Gateways are killed one after the other and forget all.
    Restarts,
    /// Gateways are cut off from the others in turn, hubs too.
    Cuts,
    /// Limits go down to a third and up to the double.
    Changes,
    /// Limits are no longer named from the sixteenth second on.
    Ends,
}

struct Gateway {
    limiters: Vec<Limiter>,
    wanted: Window,
    members: Ledger,
    hubs: Ledger,
    /// Share of the traffic.
    weight: f64,
    next_exchange: u64,
    started: u64,
    cut_until: u64,
    /// When it passed on the limit of each endpoint first.
    told: Vec<Option<u64>>,
}

/// A response or a message under way.
enum Transit {
    Response { gateway: usize, started: u64, endpoint: usize, max_rate: Option<f64> },
    Usage { gateway: usize, started: u64, usage: Usage, gateways: u32 },
}

#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests in the worst span that breaks a limit, with those that are allowed.
    pub excess: Option<(usize, f64)>,
    /// Share of the limits that was used in the last half.
    pub used: f64,
    pub wanted: usize,
    pub refused: usize,
    /// Refused in the last second.
    pub refused_at_the_end: usize,
}

pub struct Fleet {
    size: Size,
    load: Load,
    trouble: Trouble,
    rng: Pcg64,
    gateways: Vec<Gateway>,
    transits: Vec<(u64, Transit)>,
    /// Times of requests at each endpoint that gateways in touch sent, and of all requests.
    counted: Vec<Vec<u64>>,
    sent: usize,
    outcome: Outcome,
}

impl Fleet {
    pub fn new(size: Size, load: Load, trouble: Trouble, seed: u64) -> Fleet {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut gateways: Vec<Gateway> =
            (0..size.gateways).map(|_| Gateway::new(size, 0, &mut rng)).collect();
        for gateway in &mut gateways {
            let spread: f64 = rng.random();
            gateway.weight = if load.is_uneven { spread.powi(4) + 0.01 } else { 1.0 };
        }
        Fleet {
            size,
            load,
            trouble,
            rng,
            gateways,
            transits: Vec::new(),
            counted: vec![Vec::new(); size.endpoints],
            sent: 0,
            outcome: Outcome::default(),
        }
    }

    pub fn play(mut self, seconds: u64) -> Outcome {
        let end = seconds * 1_000;
        let limits = self.load.rate * self.size.endpoints as f64;
        let mut due = 0.0;
        for now in (0..end).step_by(STEP as usize) {
            self.disturb(now);
            self.deliver(now);
            let is_quiet = self.trouble == Trouble::Burst && now < 12_000;
            let pressure = if is_quiet { 0.05 } else { self.load.pressure };
            due += limits * pressure * STEP as f64 / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                self.request(now, end);
            }
            for gateway in 0..self.gateways.len() {
                self.exchange(now, gateway);
            }
        }
        self.outcome.used = self.sent as f64 / (limits * (end / 2) as f64 / 1_000.0);
        self.outcome.excess = self.worst_span(end);
        self.outcome
    }

    /// Returns the limit that an endpoint names.
    fn named(&self, now: u64) -> Option<f64> {
        let rate = self.load.rate;
        match self.trouble {
            _ if now < NAMED => None,
            Trouble::Ends if now >= 16_000 => None,
            Trouble::Changes if (8_000..14_000).contains(&now) => Some(rate / 3.0),
            Trouble::Changes if now >= 14_000 => Some(rate * 2.0),
            _ => Some(rate),
        }
    }

    /// Lets a client send a request to some gateway.
    fn request(&mut self, now: u64, end: u64) {
        let total: f64 = self.gateways.iter().map(|gateway| gateway.weight).sum();
        let mut point = self.rng.random_range(0.0..total);
        let mut index = 0;
        while index + 1 < self.gateways.len() && point >= self.gateways[index].weight {
            point -= self.gateways[index].weight;
            index += 1;
        }
        let named = self.named(now);
        let registered = self.gateways.len() as u32;
        let gateway = &mut self.gateways[index];
        if gateway.started > now {
            return;
        }
        gateway.wanted.add(millis(now));
        let wanted = gateway.wanted.count(millis(now));
        self.outcome.wanted += 1;
        let mut order: Vec<usize> = (0..self.size.endpoints).collect();
        order.shuffle(&mut self.rng);
        for endpoint in order {
            let limiter = &mut gateway.limiters[endpoint];
            limiter.refill(wanted, registered, millis(now));
            if !limiter.allows() {
                continue;
            }
            limiter.record_sent(millis(now));
            let is_told = gateway.told[endpoint].is_some_and(|told| told + TOLD <= now);
            let is_in_touch = gateway.cut_until + CONTACT <= now || gateway.cut_until == 0;
            if is_told && is_in_touch {
                self.counted[endpoint].push(now);
            }
            self.sent += usize::from(now >= end / 2);
            let started = gateway.started;
            let response = Transit::Response { gateway: index, started, endpoint, max_rate: named };
            return self.transits.push((now + RESPONSE, response));
        }
        self.outcome.refused += 1;
        self.outcome.refused_at_the_end += usize::from(now + 1_000 >= end);
    }

    /// Delivers what has arrived.
    fn deliver(&mut self, now: u64) {
        for (at, transit) in self.transits.extract_if(.., |(at, _)| *at <= now) {
            match transit {
                Transit::Response { gateway, started, endpoint, max_rate } => {
                    let gateway = &mut self.gateways[gateway];
                    if gateway.started == started {
                        gateway.limiters[endpoint].set_max_rate(max_rate, millis(at));
                        if max_rate.is_some() {
                            gateway.told[endpoint].get_or_insert(at);
                        }
                    }
                }
                Transit::Usage { gateway, started, usage, gateways } => {
                    let gateway = &mut self.gateways[gateway];
                    if gateway.started == started {
                        for (endpoint, limiter) in gateway.limiters.iter_mut().enumerate() {
                            limiter.learn(usage.row(endpoint as u64), gateways, millis(at));
                        }
                    }
                }
            }
        }
    }

    /// Lets a gateway exchange what it knows: with its hub, or a hub with the other hubs.
    fn exchange(&mut self, now: u64, index: usize) {
        if self.gateways[index].next_exchange > now {
            return;
        }
        self.gateways[index].next_exchange = now + EXCHANGE - 25 + self.rng.random_range(0..50);
        let hub = index / self.size.centre * self.size.centre;
        if !self.is_reachable(index, now) {
            return;
        }
        if hub != index {
            if self.is_reachable(hub, now) && !self.rng.random_bool(LOST) {
                let report = self.gateways[index].report(now);
                self.gateways[hub].members.record(&name(index), report, millis(now));
                let usage = self.known_by(hub, &name(index), now, true);
                let gateways = self.reachable(now) - 1;
                self.answer(now, index, usage, gateways);
            }
            return;
        }
        for other in (0..self.gateways.len()).step_by(self.size.centre) {
            let is_heard = self.is_reachable(other, now) && !self.rng.random_bool(LOST);
            if index < other && is_heard {
                for (from, to) in [(index, other), (other, index)] {
                    let report = self.gateways[from].report(now);
                    self.gateways[to].hubs.record(&name(from), report, millis(now));
                }
            }
        }
        let usage = self.known_by(index, &name(index), now, false);
        let gateways = self.reachable(now) - 1;
        self.answer(now, index, usage, gateways);
    }

    /// Returns what a hub knows of all gateways but one, and adds its own requests if asked.
    fn known_by(&self, hub: usize, but: &str, now: u64, with_own: bool) -> Usage {
        let gateway = &self.gateways[hub];
        let mut usage = gateway.members.all_but(but, millis(now));
        usage.add_all(&gateway.hubs.all_but(but, millis(now)), Duration::ZERO);
        if with_own {
            usage.add_all(&gateway.usage(now), Duration::ZERO);
        }
        usage
    }

    fn answer(&mut self, now: u64, gateway: usize, usage: Usage, gateways: u32) {
        let at = now + self.rng.random_range(0..MAX_TRANSIT);
        let started = self.gateways[gateway].started;
        self.transits.push((at, Transit::Usage { gateway, started, usage, gateways }));
    }

    fn is_reachable(&self, gateway: usize, now: u64) -> bool {
        let gateway = &self.gateways[gateway];
        gateway.started <= now && gateway.cut_until <= now
    }

    fn reachable(&self, now: u64) -> u32 {
        (0..self.gateways.len()).filter(|index| self.is_reachable(*index, now)).count() as u32
    }

    fn disturb(&mut self, now: u64) {
        if !now.is_multiple_of(1_500) || now < 4_000 {
            return;
        }
        let index = self.rng.random_range(0..self.gateways.len());
        match self.trouble {
            Trouble::Restarts => {
                let weight = self.gateways[index].weight;
                self.gateways[index] = Gateway::new(self.size, now + 500, &mut self.rng);
                self.gateways[index].weight = weight;
            }
            Trouble::Cuts => {
                // Each second time a hub.
                let hub = index / self.size.centre * self.size.centre;
                let index = if now.is_multiple_of(3_000) { hub } else { index };
                self.gateways[index].cut_until = now + 2_500;
            }
            _ => {}
        }
    }

    /// Returns the worst span that breaks a limit.
    fn worst_span(&self, end: u64) -> Option<(usize, f64)> {
        let mut worst = None;
        for times in &self.counted {
            for from in (NAMED + CONTACT..=end - SPAN).step_by(100) {
                let to = from + SPAN;
                let count = times.iter().filter(|at| (from..to).contains(*at)).count();
                let allowed = EXCESS * self.allowed(from, to) + SLACK;
                let excess = count as f64 - allowed;
                if excess > 0.0
                    && worst.is_none_or(|(count, allowed)| excess > count as f64 - allowed)
                {
                    worst = Some((count, allowed));
                }
            }
        }
        worst
    }

    /// Returns the requests that the limits of a span add up to; an endpoint without a limit has
    /// taken all.
    fn allowed(&self, from: u64, to: u64) -> f64 {
        // A limit that has just gone down counts from when gateways can know it.
        let rate = |at: u64| match (self.named(at), self.named(at.saturating_sub(CONTACT))) {
            (Some(now), Some(before)) => now.max(before),
            _ => f64::INFINITY,
        };
        (from..to).step_by(10).map(|at| rate(at) * 0.01).sum()
    }
}

impl Gateway {
    fn new(size: Size, started: u64, rng: &mut Pcg64) -> Gateway {
        let seed = rng.random();
        Gateway {
            limiters: (0..size.endpoints)
                .map(|endpoint| Limiter::new(endpoint as u64, seed))
                .collect(),
            wanted: Window::default(),
            members: Ledger::default(),
            hubs: Ledger::default(),
            weight: 1.0,
            next_exchange: started + rng.random_range(0..EXCHANGE),
            started,
            cut_until: 0,
            told: vec![None; size.endpoints],
        }
    }

    fn usage(&self, now: u64) -> Usage {
        let mut usage = Usage::default();
        let wanted = self.wanted.count(millis(now));
        let rows = self.limiters.iter().filter_map(|limiter| limiter.row(wanted, millis(now)));
        rows.for_each(|row| usage.add(row));
        usage
    }

    fn report(&self, now: u64) -> Report {
        let report = Report { own: self.usage(now), members: self.members.own(millis(now)) };
        assert!(report.own.is_valid() && report.members.is_valid());
        report
    }
}

fn name(gateway: usize) -> String {
    format!("g{gateway}")
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
