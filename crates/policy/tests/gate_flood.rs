//! Simulation of engines in a flood of the least urgent work, each driven by its gate.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::gate::Action;
use policy::gate::End;
use policy::gate::Gate;
use policy::gate::Id;
use policy::gate::Rule;
use policy::gate::Rules;
use policy::gate::Ticket;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use wire::Cost;
use wire::Mean;

const SLOTS: u32 = 8;
const ENGINES: usize = 10;

/// Throughput of a slot, in tokens per second.
const SLOT_TOKENS_PER_S: u64 = 100;

/// Flood requests per second at each engine: three times its capacity.
const FLOOD_PER_S: f64 = 2.4;

/// Limit of a small account's 95th-percentile latency beside a large account, as a
/// multiple of that without one.
const LATENCY_FACTOR_MAX: f64 = 1.2;

/// Percent of urgent requests that must start in time.
const SERVED_TARGET_PERCENT: f64 = 95.0;

const STEP: Duration = Duration::from_millis(10);
const RUN: Duration = Duration::from_secs(120);

/// Time that urgent requests and all others may wait.
const PATIENCE: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(20)];

/// An engine that runs the requests started by its gate at a fixed throughput.
struct Engine {
    gate: Gate,
    /// Running requests with the times at which they end.
    running: BTreeMap<Id, Duration>,
    /// Rank and tokens of each offered request.
    offered: BTreeMap<Id, (u8, u64)>,
    started: [u64; 2],
    /// Tokens of completed requests by rank.
    tokens: [u64; 2],
    /// Account of the next request.
    account: &'static str,
}

impl Engine {
    fn new() -> Engine {
        let rule = |first_token| Rule { minimum: 0, first_token };
        let rules = Rules {
            slots: SLOTS,
            bound: 1.25,
            ranks: PATIENCE.map(rule).to_vec(),
            queue: 8 * SLOTS,
            queue_tokens: 10_000_000,
            start_rate: SLOT_TOKENS_PER_S as u32,
        };
        Engine {
            gate: Gate::new(rules),
            running: BTreeMap::new(),
            offered: BTreeMap::new(),
            started: [0; 2],
            tokens: [0; 2],
            account: "a",
        }
    }

    /// Offers a request; returns whether it was refused at once.
    fn offer(&mut self, rank: u8, tokens: u64, now: Duration) -> bool {
        let id = self.offered.len() as Id;
        self.offered.insert(id, (rank, tokens));
        let ticket = Ticket {
            id,
            request: u128::from(id),
            rank,
            account: self.account.to_owned(),
            weight: 1,
            cost: Cost { prompt: 0, output: tokens as u32 },
            due: now + PATIENCE[usize::from(rank)],
            deadline: now + PATIENCE[usize::from(rank)],
        };
        let mean = Mean { per_slot: 4.0, weight: 9.0, age: Duration::ZERO };
        let actions = self.gate.offer(ticket, Some(mean), now);
        let refused =
            actions.iter().any(|action| matches!(action, Action::Refuse(of, _) if *of == id));
        self.apply(actions, now);
        refused
    }

    fn apply(&mut self, actions: Vec<Action>, now: Duration) {
        for action in actions {
            if let Action::Start(id) = action {
                let (rank, tokens) = self.offered[&id];
                self.started[usize::from(rank)] += 1;
                self.running
                    .insert(id, now + Duration::from_millis(tokens * 1_000 / SLOT_TOKENS_PER_S));
            }
        }
    }

    fn end_and_tick(&mut self, now: Duration) {
        let ended: Vec<Id> =
            self.running.iter().filter(|(_, end)| **end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.running.remove(&id);
            let (rank, tokens) = self.offered[&id];
            self.tokens[usize::from(rank)] += tokens;
            let actions = self.gate.end(id, End::Completed, now);
            self.apply(actions, now);
        }
        let actions = self.gate.tick(now);
        self.apply(actions, now);
    }
}

/// The result of a simulated flood.
struct Outcome {
    /// Percent of urgent requests that were started in time.
    served: f64,
    /// Percent of the engines' capacity that went into completed requests of each rank.
    parts: [f64; 2],
}

/// Simulates urgent requests of a second each beside a flood of requests of 10 s each.
///
/// `urgent` is the rate of urgent requests per second and engine, `attempts` the number of
/// engines that each of them is offered to until one accepts it.
fn flood(urgent: f64, attempts: usize) -> Outcome {
    let mut random = Pcg32::seed_from_u64(11);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::new()).collect();
    let mut offered = 0.0;
    let mut now = Duration::ZERO;
    while now < RUN {
        for engine in &mut engines {
            engine.end_and_tick(now);
        }
        for first in 0..ENGINES {
            if random.random_bool(urgent * STEP.as_secs_f64()) {
                offered += 1.0;
                let tokens = random.random_range(50..150);
                let mut next = (first..first + attempts).map(|next| next % ENGINES);
                next.find(|next| !engines[*next].offer(0, tokens, now));
            }
            if random.random_bool(FLOOD_PER_S * STEP.as_secs_f64()) {
                let tokens = random.random_range(200..1_800);
                engines[first].offer(1, tokens, now);
            }
        }
        now += STEP;
    }
    let capacity = (ENGINES as u64 * RUN.as_secs() * SLOT_TOKENS_PER_S * u64::from(SLOTS)) as f64;
    let sum = |of: fn(&Engine) -> u64| engines.iter().map(of).sum::<u64>() as f64;
    Outcome {
        served: 100.0 * sum(|engine| engine.started[0]) / offered,
        parts: [sum(|engine| engine.tokens[0]), sum(|engine| engine.tokens[1])]
            .map(|tokens| 100.0 * tokens / capacity),
    }
}

#[test]
fn urgent_work_starts_in_time_through_a_flood_of_the_least_urgent() {
    for urgent in [0.1, 0.8, 3.2] {
        let [once, thrice] = [1, 3].map(|attempts| flood(urgent, attempts));
        println!(
            "urgent={urgent}/s served={:.1} % at one try, {:.1} % at three; used {:.1} + {:.1} %",
            once.served, thrice.served, thrice.parts[0], thrice.parts[1],
        );
        assert!(thrice.served >= SERVED_TARGET_PERCENT, "{:.1} %", thrice.served);
    }
}

/// Returns the times from offer to end of a small account's requests of a second each, sorted.
///
/// `small` and `large` are the request rates per second of the small account and of a
/// large one in the same rank.
fn small_account_times(small: f64, large: f64, run: Duration) -> Vec<Duration> {
    let mut random = Pcg32::seed_from_u64(13);
    let mut engine = Engine::new();
    let mut waiting = BTreeMap::new();
    let mut times = Vec::new();
    let mut now = Duration::ZERO;
    while now < run {
        engine.end_and_tick(now);
        if random.random_bool(small * STEP.as_secs_f64()) {
            waiting.insert(engine.offered.len() as Id, now);
            engine.account = "small";
            engine.offer(1, SLOT_TOKENS_PER_S, now);
        }
        if random.random_bool(large * STEP.as_secs_f64()) {
            engine.account = "large";
            engine.offer(1, random.random_range(50..150), now);
        }
        let ends = waiting.iter().filter_map(|(id, at)| Some(*engine.running.get(id)? - *at));
        times.extend(ends);
        waiting.retain(|id, _| !engine.running.contains_key(id));
        now += STEP;
    }
    assert!(waiting.is_empty(), "some were refused: {waiting:?}");
    times.sort();
    times
}

#[test]
fn a_small_account_keeps_its_latency_beside_one_that_asks_for_twice_the_engine() {
    let [alone, beside] = [0.0, 16.0].map(|large| small_account_times(0.2, large, 6 * RUN));
    let at = |times: &[Duration]| times[times.len() * 95 / 100];
    println!("small account p95 alone {:?}, beside the large one {:?}", at(&alone), at(&beside));
    assert!(at(&beside) <= at(&alone).mul_f64(LATENCY_FACTOR_MAX));
}

#[test]
fn an_account_that_asks_for_a_thousandth_of_another_keeps_its_latency() {
    let [alone, beside] = [0.0, 16.0].map(|large| small_account_times(0.016, large, 60 * RUN));
    let at = |times: &[Duration]| times[times.len() * 95 / 100];
    println!(
        "a thousandth: p95 alone {:?}, beside {:?}, of {} requests",
        at(&alone),
        at(&beside),
        beside.len()
    );
    assert!(at(&beside) <= at(&alone).mul_f64(LATENCY_FACTOR_MAX));
}
