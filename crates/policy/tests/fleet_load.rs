//! Replays loads of a large fleet against the choice of endpoints by many gateways, each with
//! what it knows of the others' requests.

use std::time::Duration;

use policy::choice;
use policy::choice::Candidate;
use policy::choice::Query;
use policy::exchange::Ledger;
use policy::exchange::Report;
use policy::exchange::Sheet;
use policy::exchange::fingerprint;
use policy::occupancy::Occupancy;
use policy::popularity::Popularity;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const GATEWAYS: usize = 68;
const ENDPOINTS: usize = 76;

/// Requests that an endpoint processes at the same time.
const SLOTS: u32 = 16;

/// Parts of prompts that requests share.
const PARTS: usize = 2_100;

/// A part that gets much of the traffic for a while.
const HOT_PART: u64 = 1_000_000;

/// Exponent of the parts' popularity.
const POPULARITY_SKEW: f64 = 0.3;

/// Tokens of parts: of one in eight, for which a busier endpoint is accepted, and of the others.
const LONG_PART_TOKENS: u32 = 10_000;
const SHORT_PART_TOKENS: u32 = 700;

/// Interval between reports of a gateway, and the time that a report takes through a relay.
const REPORT_MILLIS: u64 = 250;
const REPORT_DELAY_MILLIS: u64 = 100;

/// The operators' load bound: a share of 3 in 100 requests may reach endpoints with over twice
/// the mean of the service and three more.
const BOUND_MULTIPLE: f64 = 2.0;
const BOUND_SLACK: f64 = 3.0;
const BOUND_SHARE: f64 = 0.03;

/// How gateways learn of each other's requests.
#[derive(Clone, Copy, PartialEq)]
enum Knowledge {
    /// From what endpoints report with their answers.
    Answers,
    /// From each other as well.
    Exchange,
}

/// A phase of the load.
#[derive(Clone, Copy)]
struct Phase {
    seconds: u64,
    requests_per_second: f64,
    /// Mean time that a request is in flight.
    mean_millis: f64,
    /// Share of the requests that one part gets.
    hot_share: f64,
}

struct Request {
    gateway: usize,
    endpoint: usize,
    ends: u64,
    /// When its endpoint answers with its load; 0 if it has.
    answers: u64,
}

/// The fleet, stepped by the millisecond.
struct Fleet {
    knowledge: Knowledge,
    random: Pcg64,
    names: Vec<String>,
    /// Known requests at each endpoint, by gateway.
    occupancies: Vec<Vec<Occupancy>>,
    /// Requests that each endpoint holds.
    held: Vec<u32>,
    running: Vec<Request>,
    ledger: Ledger,
    /// Sums of the weights of parts, from which parts are drawn.
    weights: Vec<f64>,
    /// What each gateway has seen of parts.
    popularities: Vec<Popularity>,
    /// Whether popular parts are spread over several endpoints.
    is_spread: bool,
    /// Slots that each endpoint announces.
    slots: Option<u32>,
    sent: u32,
    /// Requests that reached an endpoint above the bound.
    above: u32,
    /// Requests that were sent to another endpoint than the first one for their part.
    away: u32,
    /// Requests with short parts that have to wait for a slot although many other endpoints have
    /// one.
    needless: u32,
}

impl Fleet {
    fn new(knowledge: Knowledge, seed: u64) -> Fleet {
        let mut sum = 0.0;
        let weight = |part: usize| (part as f64 + 1.0).powf(-POPULARITY_SKEW);
        let weights = (0..PARTS).map(|part| {
            sum += weight(part);
            sum
        });
        Fleet {
            knowledge,
            random: Pcg64::seed_from_u64(seed),
            names: (0..ENDPOINTS).map(|index| format!("i-{index:08x}")).collect(),
            occupancies: vec![vec![Occupancy::default(); ENDPOINTS]; GATEWAYS],
            held: vec![0; ENDPOINTS],
            running: Vec::new(),
            ledger: Ledger::default(),
            weights: weights.collect(),
            popularities: vec![Popularity::default(); GATEWAYS],
            is_spread: true,
            slots: Some(SLOTS),
            sent: 0,
            above: 0,
            away: 0,
            needless: 0,
        }
    }

    /// Plays the phases one after the other; returns the share of requests that reached an
    /// endpoint above the bound.
    fn play(&mut self, phases: &[Phase]) -> f64 {
        let mut millis = 0;
        for phase in phases {
            for _ in 0..phase.seconds * 1_000 {
                millis += 1;
                self.step(phase, millis);
            }
        }
        f64::from(self.above) / f64::from(self.sent)
    }

    fn step(&mut self, phase: &Phase, millis: u64) {
        self.end_requests(millis);
        if self.knowledge == Knowledge::Exchange {
            self.exchange(millis);
        }
        let mut expected = phase.requests_per_second / 1_000.0;
        while expected > 0.0 {
            if self.random.random::<f64>() < expected {
                self.send(phase, millis);
            }
            expected -= 1.0;
        }
    }

    fn end_requests(&mut self, millis: u64) {
        let now = Duration::from_millis(millis);
        for request in &mut self.running {
            let occupancy = &mut self.occupancies[request.gateway][request.endpoint];
            if request.answers != 0 && request.answers <= millis {
                request.answers = 0;
                occupancy.record_report(self.held[request.endpoint], now);
            }
            if request.ends <= millis {
                occupancy.record_ended();
                self.held[request.endpoint] -= 1;
            }
        }
        self.running.retain(|request| request.ends > millis);
    }

    /// Lets the gateways report whose turn it is.
    fn exchange(&mut self, millis: u64) {
        let now = Duration::from_millis(millis);
        for gateway in 0..GATEWAYS {
            let phase = (millis + gateway as u64 * 37) % REPORT_MILLIS;
            let vm = format!("g{gateway}");
            if phase == 0 {
                let mut own = Sheet::default();
                for (name, occupancy) in self.names.iter().zip(&self.occupancies[gateway]) {
                    own.add(fingerprint(name), occupancy.own());
                }
                let members = Sheet::default();
                let report =
                    Report { vm, incarnation: 1, sequence: millis, own, members, gateways: 1 };
                self.ledger.record(report, now).expect("a report that is in order");
            } else if phase == REPORT_DELAY_MILLIS {
                let others = self.ledger.all_but(&vm, now);
                for (name, occupancy) in self.names.iter().zip(&mut self.occupancies[gateway]) {
                    occupancy.record_others(others.requests(fingerprint(name)), now);
                }
            }
        }
    }

    fn send(&mut self, phase: &Phase, millis: u64) {
        let now = Duration::from_millis(millis);
        let gateway = self.random.random_range(0..GATEWAYS);
        let point = self.random.random::<f64>() * self.weights[PARTS - 1];
        let part = match self.random.random::<f64>() < phase.hot_share {
            true => HOT_PART,
            false => self.weights.partition_point(|sum| *sum < point) as u64,
        };
        let known = self.names.iter().zip(&self.occupancies[gateway]);
        let candidates: Vec<Candidate<'_>> = known
            .map(|(name, occupancy)| Candidate {
                name,
                requests: occupancy.requests(now),
                slots: self.slots,
                speed: 1.0,
                is_far: false,
                is_limited: false,
            })
            .collect();
        let popularity = &mut self.popularities[gateway];
        popularity.record(part, now);
        let share = if self.is_spread { popularity.share(part, now) } else { 0.0 };
        let seed = self.random.random();
        let query =
            Query { part: Some(part), tokens: tokens(part), share, unseen: 0.0, idle: 0, seed };
        let endpoint = choice::order(&query, &candidates)[0];
        let idle: Vec<Candidate<'_>> =
            candidates.iter().map(|known| Candidate { requests: 0.0, ..*known }).collect();
        self.away += u32::from(endpoint != choice::order(&query, &idle)[0]);
        let mean = self.held.iter().sum::<u32>() as f64 / ENDPOINTS as f64;
        self.sent += 1;
        self.above +=
            u32::from(f64::from(self.held[endpoint]) > BOUND_MULTIPLE * mean + BOUND_SLACK);
        let free = self.held.iter().filter(|held| **held < SLOTS).count();
        let waits = self.held[endpoint] >= SLOTS && free > ENDPOINTS / 4;
        self.needless += u32::from(waits && tokens(part) == SHORT_PART_TOKENS);
        let lasts = (-(1.0 - self.random.random::<f64>()).ln() * phase.mean_millis) as u64 + 1;
        let answers = millis + (lasts / 10).max(1);
        self.running.push(Request { gateway, endpoint, ends: millis + lasts, answers });
        self.held[endpoint] += 1;
        self.occupancies[gateway][endpoint].record_sent();
    }
}

fn tokens(part: u64) -> u32 {
    if part.is_multiple_of(8) { LONG_PART_TOKENS } else { SHORT_PART_TOKENS }
}

/// All gateways start at the same time, in the middle of a burst.
const START_IN_A_BURST: [Phase; 1] =
    [Phase { seconds: 5, requests_per_second: 1_250.0, mean_millis: 700.0, hot_share: 0.0 }];

/// The traffic shifts from short answers to long ones.
const SHIFT_TO_LONG_ANSWERS: [Phase; 2] = [
    Phase { seconds: 5, requests_per_second: 900.0, mean_millis: 300.0, hot_share: 0.0 },
    Phase { seconds: 6, requests_per_second: 1_000.0, mean_millis: 1_000.0, hot_share: 0.0 },
];

/// One key gets a tenth of all requests.
const HOT_KEY: [Phase; 2] = [
    Phase { seconds: 3, requests_per_second: 730.0, mean_millis: 500.0, hot_share: 0.0 },
    Phase { seconds: 6, requests_per_second: 730.0, mean_millis: 500.0, hot_share: 0.1 },
];

/// Endpoints were lost while long prompts come in a burst: those that are left have few slots free.
const NEARLY_FULL: [Phase; 1] =
    [Phase { seconds: 8, requests_per_second: 1_100.0, mean_millis: 900.0, hot_share: 0.0 }];

const PATTERNS: [(&str, &[Phase]); 3] = [
    ("start in a burst", &START_IN_A_BURST),
    ("shift to long answers", &SHIFT_TO_LONG_ANSWERS),
    ("hot key", &HOT_KEY),
];

#[test]
fn gateways_that_exchange_loads_keep_the_load_bound() {
    for (name, phases) in PATTERNS {
        for seed in 1..=3 {
            let share = Fleet::new(Knowledge::Exchange, seed).play(phases);
            assert!(share < BOUND_SHARE, "{name}, seed {seed}: {share:.3}");
        }
    }
}

#[test]
fn a_hot_key_overloads_its_endpoint_unless_its_requests_are_spread() {
    // A gateway learns of the others' requests too late to stop sending its own.
    let shares = |is_spread| {
        let play = |seed| {
            let mut fleet = Fleet::new(Knowledge::Exchange, seed);
            fleet.is_spread = is_spread;
            fleet.play(&HOT_KEY)
        };
        (1..=3).map(play).sum::<f64>() / 3.0
    };
    let (with, without) = (shares(true), shares(false));
    assert!(with < BOUND_SHARE / 2.0, "{with:.3}");
    assert!(without > 2.0 * with, "{with:.3} with spreading, {without:.3} without");
}

#[test]
fn gateways_that_exchange_loads_send_fewer_parts_away() {
    // A gateway that hears of a load once in several seconds takes a peak that is over for one
    // that lasts, and has the part read or copied elsewhere.
    for seed in 1..=3 {
        let away = |knowledge| {
            let mut fleet = Fleet::new(knowledge, seed);
            fleet.play(&SHIFT_TO_LONG_ANSWERS);
            f64::from(fleet.away) / f64::from(fleet.sent)
        };
        let (with, without) = (away(Knowledge::Exchange), away(Knowledge::Answers));
        assert!(with < without, "seed {seed}: {with:.3} with the exchange, {without:.3} without");
    }
}

#[test]
fn few_requests_wait_for_a_slot_while_other_endpoints_have_one() {
    for seed in 1..=3 {
        let needless = |slots| {
            let mut fleet = Fleet::new(Knowledge::Exchange, seed);
            fleet.slots = slots;
            fleet.play(&NEARLY_FULL);
            f64::from(fleet.needless) / f64::from(fleet.sent)
        };
        let (with, without) = (needless(Some(SLOTS)), needless(None));
        assert!(with < without * 0.8, "seed {seed}: {with:.3} with slots, {without:.3} without");
    }
}
