//! Replays bursts at a few small endpoints against many gateways that know each other's requests
//! late.

use policy::choice;
use policy::choice::Candidate;
use policy::choice::Query;
use policy::spread;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const NAMES: [&str; 3] = ["e1", "e2", "e3"];

/// Requests that an endpoint runs at the same time, and that may wait there.
const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// Mean time that a request runs: 60 ms, and 2.5 times as long in 15 of 100 cases.
const WORK_MILLIS: u64 = 73;

/// Interval at which gateways learn of the requests of the others.
const EXCHANGE_MILLIS: u64 = 250;

/// Callers expect an answer within this time.
const OBJECTIVE_MILLIS: u64 = 300;

/// Mean age of the loads that are known: each report waits for up to an interval at its gateway, at
/// the relay, and at the gateway that learns of it.
const LOAD_AGE_S: f64 = 0.375;

type Loads = [f64; NAMES.len()];

/// How requests ended.
#[derive(Debug, Default)]
struct Ends {
    sent: usize,
    in_time: usize,
    rejected: usize,
}

/// A request that an endpoint holds.
struct Request {
    gateway: usize,
    endpoint: usize,
    ends: u64,
}

/// Endpoints and the gateways before them.
struct Fleet {
    held: Vec<Request>,
    /// What each gateway reported last, the sum that relays knew last, and what gateways learnt of it.
    reported: Vec<Loads>,
    relayed: Loads,
    learnt: Vec<Loads>,
}

impl Fleet {
    /// Returns the requests of a gateway at each endpoint.
    fn own(&self, gateway: usize) -> Loads {
        let mut own = [0.0; NAMES.len()];
        let held = self.held.iter().filter(|request| request.gateway == gateway);
        held.for_each(|request| own[request.endpoint] += 1.0);
        own
    }

    /// Lets a gateway report its requests, and learn those of the others.
    fn exchange(&mut self, gateway: usize) {
        let before = self.reported[gateway];
        self.learnt[gateway] =
            [0, 1, 2].map(|index| (self.relayed[index] - before[index]).max(0.0));
        self.reported[gateway] = self.own(gateway);
    }

    /// Sends a request; returns its latency, or `None` if the endpoint's queue is full.
    fn send(&mut self, gateway: usize, unseen: f64, seed: u64, now: u64) -> Option<u64> {
        let own = self.own(gateway);
        let candidate = |index: usize| Candidate {
            name: NAMES[index],
            requests: own[index] + self.learnt[gateway][index],
            slots: Some(SLOTS as u32),
            speed: 1.0,
            is_far: false,
            is_limited: false,
        };
        let query = Query { part: None, tokens: 0, share: 0.0, unseen, idle: 0, seed };
        let endpoint = choice::order(&query, &[0, 1, 2].map(candidate))[0];
        let ends = self.held.iter().filter(|request| request.endpoint == endpoint);
        let mut ends: Vec<u64> = ends.map(|request| request.ends).collect();
        ends.sort_unstable();
        if ends.len() >= SLOTS + QUEUE {
            return None;
        }
        // It starts when the request ends that is as many places before it as there are slots.
        let start = ends.len().checked_sub(SLOTS).map_or(now, |index| ends[index]);
        self.held.push(Request { gateway, endpoint, ends: start + WORK_MILLIS });
        Some(start + WORK_MILLIS - now)
    }
}

/// Plays ten seconds of this load from as many gateways.
fn play(gateways: usize, per_second: f64, spreads: bool) -> Ends {
    let mut random = Pcg64::seed_from_u64(11);
    let none = [0.0; NAMES.len()];
    let (reported, learnt) = (vec![none; gateways], vec![none; gateways]);
    let mut fleet = Fleet { held: Vec::new(), reported, relayed: none, learnt };
    let phases: Vec<u64> = (0..gateways).map(|_| random.random_range(0..EXCHANGE_MILLIS)).collect();
    let unseen = if spreads { per_second * LOAD_AGE_S } else { 0.0 };
    let mut ends = Ends::default();
    for now in 0..10_000 {
        fleet.held.retain(|request| request.ends > now);
        if now % EXCHANGE_MILLIS == 0 {
            fleet.relayed =
                [0, 1, 2].map(|index| fleet.reported.iter().map(|loads| loads[index]).sum());
        }
        let due = |gateway: &usize| now % EXCHANGE_MILLIS == phases[*gateway];
        (0..gateways).filter(due).for_each(|gateway| fleet.exchange(gateway));
        // Clients send requests in clumps, of two on average.
        if !random.random_bool(per_second / 2_000.0) {
            continue;
        }
        for _ in 0..random.random_range(1..=3) {
            let gateway = random.random_range(0..gateways);
            ends.sent += 1;
            match fleet.send(gateway, unseen, random.random(), now) {
                Some(latency) if latency <= OBJECTIVE_MILLIS => ends.in_time += 1,
                Some(_) => {}
                None => ends.rejected += 1,
            }
        }
    }
    ends
}

/// Guards against gateways that all send to the endpoint that looked least loaded a while ago, so that
/// its queue overflows while others idle.
#[test]
fn requests_of_many_gateways_pile_up_at_one_endpoint() {
    for gateways in [5, 28, 39, 300] {
        let spread = play(gateways, 200.0, true);
        assert!(spread.rejected * 1_000 <= spread.sent, "{gateways} gateways: {spread:?}");
        assert!(spread.in_time * 100 >= spread.sent * 97, "{gateways} gateways: {spread:?}");
    }
}

/// Shows that the load is one that callers notice: without the spread the same bounds don't hold.
#[test]
fn the_least_loaded_endpoint_of_a_while_ago_is_overloaded() {
    for gateways in [39, 300] {
        let herd = play(gateways, 200.0, false);
        assert!(herd.in_time * 100 < herd.sent * 97, "{gateways} gateways: {herd:?}");
    }
}

/// Guards against a spread that ignores known loads.
#[test]
fn a_busy_endpoint_gets_requests_while_others_can_take_all_that_is_unseen() {
    for seed in 0..1_000 {
        assert_ne!(spread::draw(&[30.0, 2.0, 5.0], 20.0, seed), Some(0));
    }
}

#[test]
fn endpoints_fill_up_to_an_equal_level() {
    let mut drawn = [0_i32; 3];
    for seed in 0..30_000 {
        drawn[spread::draw(&[10.0, 4.0, 1.0], 30.0, seed).expect("an endpoint")] += 1;
    }
    // The level is 15: 5, 11 and 14 requests of 30 are missing.
    for (count, expected) in drawn.iter().zip([5_000, 11_000, 14_000]) {
        assert!((count - expected).abs() < 500, "{drawn:?}");
    }
}

#[test]
fn current_loads_are_taken_as_they_are() {
    assert_eq!(spread::draw(&[3.0, 1.0], 0.0, 7), None);
    assert_eq!(spread::draw(&[], 5.0, 7), None);
}
