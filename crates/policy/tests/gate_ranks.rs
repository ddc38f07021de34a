//! Simulation of how each rank meets its first-token target, from low load to floods:
//! ten engines with their gates, and entries with a retry budget.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::gate::Action;
use policy::gate::End;
use policy::gate::Gate;
use policy::gate::Id;
use policy::gate::Rule;
use policy::gate::Rules;
use policy::gate::Ticket;
use policy::retry::Budget;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use wire::Cost;
use wire::Mean;

const SLOTS: u32 = 8;
const ENGINES: usize = 10;
const STEP: Duration = Duration::from_millis(5);
const RUN: Duration = Duration::from_secs(30);
/// Requests offered before this time don't count, except in the test of a cold start.
const WARM_UP: Duration = Duration::from_secs(10);
const ATTEMPTS: usize = 3;
const RETRY_PERCENT: u32 = 20;

/// Time between tokens.
const TOKEN_GAP: Duration = Duration::from_millis(40);
/// Prefill time per prompt token.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(500);
const PROMPT_TOKENS: u32 = 100;
/// Requested output tokens; from a quarter of them up to all are generated.
const OUTPUT_TOKENS: u32 = 32;

/// First-token targets of the ranks.
const FIRST_TOKEN_TARGETS: [Duration; 3] =
    [Duration::from_millis(370), Duration::from_secs(2), Duration::from_secs(20)];
/// Time that requests of each rank may wait.
const PATIENCE: [Duration; 3] =
    [Duration::from_secs(2), Duration::from_secs(15), Duration::from_secs(60)];
/// Guaranteed minimums of the ranks.
const MINIMUM_PERCENTS: [u8; 3] = [20, 20, 10];

/// Percent of the most urgent requests that must get their first token in time.
const IN_TIME_PERCENT_MIN: f64 = 95.0;

/// Tolerance for slots that are idle for up to a step between two requests.
const ROUNDING_FACTOR: f64 = 0.95;

/// One request.
struct Job {
    rank: usize,
    offered: Duration,
    tokens: u32,
    start: Option<Duration>,
    is_refused: bool,
}

/// An engine that runs what its gate starts.
struct Engine {
    gate: Gate,
    jobs: BTreeMap<Id, Job>,
    /// Running requests with the times at which they end.
    running: BTreeMap<Id, Duration>,
    /// Started requests without a first token, with the time at which it comes.
    prefilling: BTreeMap<Id, Duration>,
}

/// The results of one rank.
#[derive(Debug, Clone, Copy, Default)]
struct Row {
    sent: u32,
    served: u32,
    in_time: u32,
    /// Requests refused after they had waited.
    dropped: u32,
    /// Slot time of its requests in percent of the capacity.
    used: f64,
}

/// Returns the time for which a request with some output tokens occupies a slot.
fn service(tokens: u32) -> Duration {
    PREFILL_PER_TOKEN * PROMPT_TOKENS + TOKEN_GAP * tokens
}

/// Returns the capacity of one engine, in requests per second.
fn capacity() -> f64 {
    let mean = service(OUTPUT_TOKENS / 4 + OUTPUT_TOKENS * 3 / 8);
    f64::from(SLOTS) / mean.as_secs_f64()
}

impl Engine {
    fn new() -> Engine {
        let ranks = (0..3).map(|rank| Rule {
            minimum: MINIMUM_PERCENTS[rank],
            first_token: FIRST_TOKEN_TARGETS[rank],
        });
        let rules = Rules {
            slots: SLOTS,
            bound: 1.25,
            ranks: ranks.collect(),
            queue: 8 * SLOTS,
            queue_tokens: 10_000_000,
            start_rate: 200,
        };
        Engine {
            gate: Gate::new(rules),
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            prefilling: BTreeMap::new(),
        }
    }

    /// Offers a request; returns whether it was refused at once.
    fn offer(&mut self, id: Id, job: Job, mean: Mean, now: Duration) -> bool {
        let rank = job.rank;
        let ticket = Ticket {
            id,
            request: u128::from(id),
            rank: rank as u8,
            account: "a".to_owned(),
            weight: 1,
            cost: Cost { prompt: PROMPT_TOKENS, output: OUTPUT_TOKENS },
            due: now + FIRST_TOKEN_TARGETS[rank],
            deadline: now + PATIENCE[rank],
        };
        self.jobs.insert(id, job);
        let actions = self.gate.offer(ticket, Some(mean), now);
        let is_refusal = |action: &Action| matches!(action, Action::Refuse(of, _) if *of == id);
        let refused = actions.iter().any(is_refusal);
        self.apply(actions, now);
        if refused {
            self.jobs.remove(&id);
        }
        refused
    }

    fn apply(&mut self, actions: Vec<Action>, now: Duration) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    let Some(job) = self.jobs.get_mut(&id) else { continue };
                    job.start = Some(now);
                    self.running.insert(id, now + service(job.tokens));
                    self.prefilling.insert(id, now + PREFILL_PER_TOKEN * PROMPT_TOKENS + TOKEN_GAP);
                }
                Action::Refuse(id, _) => {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.is_refused = true;
                    }
                }
            }
        }
    }

    fn tick(&mut self, now: Duration) {
        let ended = self.running.extract_if(.., |_, end| *end <= now);
        let ended: Vec<Id> = ended.map(|(id, _)| id).collect();
        for id in ended {
            let actions = self.gate.end(id, End::Completed, now);
            self.apply(actions, now);
        }
        let answering = self.prefilling.extract_if(.., |_, first| *first <= now);
        let answering: Vec<Id> = answering.map(|(id, _)| id).collect();
        for id in answering {
            self.gate.record_first_token(id, now);
        }
        let actions = self.gate.tick(now);
        self.apply(actions, now);
    }
}

/// Simulates loads of the ranks, given in multiples of the capacity.
fn simulate(loads: [f64; 3], warm_up: Duration) -> [Row; 3] {
    let mut random = Pcg32::seed_from_u64(17);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::new()).collect();
    let mut budgets = vec![Budget::default(); 3];
    let mut rows = [Row::default(); 3];
    let mut next = 0;
    let mut now = Duration::ZERO;
    let run = RUN + warm_up;
    while now < run {
        for engine in &mut engines {
            engine.tick(now);
        }
        for _ in 0..ENGINES {
            for rank in 0..3 {
                if !random.random_bool(loads[rank] * capacity() * STEP.as_secs_f64()) {
                    continue;
                }
                let budget = &mut budgets[rank];
                budget.earn(RETRY_PERCENT);
                rows[rank].sent += u32::from(now >= warm_up);
                let tokens = random.random_range(OUTPUT_TOKENS / 4..=OUTPUT_TOKENS);
                let first = random.random_range(0..ENGINES);
                for attempt in 0..ATTEMPTS {
                    let load: u32 = engines.iter().map(|one| one.gate.load().requests()).sum();
                    let per_slot = load as f32 / (SLOTS * ENGINES as u32) as f32;
                    let mean = Mean { per_slot, weight: 9.0, age: Duration::ZERO };
                    let job = Job { rank, offered: now, tokens, start: None, is_refused: false };
                    let engine = &mut engines[(first + attempt) % ENGINES];
                    if !engine.offer(next, job, mean, now) || !budget.spend() {
                        break;
                    }
                }
                next += 1;
            }
        }
        now += STEP;
    }
    for job in engines.iter().flat_map(|engine| engine.jobs.values()) {
        let row = &mut rows[job.rank];
        if job.start.is_some_and(|start| start >= warm_up) {
            row.used += service(job.tokens).as_secs_f64();
        }
        if job.offered < warm_up {
            continue;
        }
        row.dropped += u32::from(job.is_refused);
        let Some(start) = job.start else { continue };
        let first = start + PREFILL_PER_TOKEN * PROMPT_TOKENS + TOKEN_GAP - job.offered;
        row.served += 1;
        row.in_time += u32::from(first <= FIRST_TOKEN_TARGETS[job.rank]);
    }
    let all = f64::from(SLOTS) * ENGINES as f64 * RUN.as_secs_f64();
    rows.map(|row| Row { used: 100.0 * row.used / all, ..row })
}

fn percent(part: u32, whole: u32) -> f64 {
    100.0 * f64::from(part) / f64::from(whole.max(1))
}

fn show(name: &str, rows: &[Row; 3]) {
    for (rank, row) in rows.iter().enumerate() {
        println!(
            "{name} rank {rank}: sent {} served {:.1} % in time {:.1} % of sent {:.1} % of served, \
             refused after waiting {:.1} %, used {:.1} %",
            row.sent,
            percent(row.served, row.sent),
            percent(row.in_time, row.sent),
            percent(row.in_time, row.served),
            percent(row.dropped, row.sent),
            row.used,
        );
    }
}

/// Returns whether each rank used at least its minimum of all slot time used, or all that
/// it asked for if that is less.
fn keeps_minimums(loads: [f64; 3], rows: &[Row; 3]) -> bool {
    let all: f64 = rows.iter().map(|row| row.used).sum();
    (0..3).all(|rank| {
        let minimum = all * f64::from(MINIMUM_PERCENTS[rank]) / 100.0;
        rows[rank].used >= minimum.min(100.0 * loads[rank]) * ROUNDING_FACTOR
    })
}

#[test]
fn the_most_urgent_rank_is_in_time_while_it_asks_for_less_than_there_is() {
    for (name, loads) in [
        ("0.7", [0.21, 0.28, 0.21]),
        ("1", [0.3, 0.4, 0.3]),
        ("2", [0.6, 0.8, 0.6]),
        ("flood of the least", [0.2, 0.2, 5.0]),
    ] {
        let rows = simulate(loads, WARM_UP);
        show(name, &rows);
        assert!(percent(rows[0].in_time, rows[0].sent) >= IN_TIME_PERCENT_MIN, "{name}");
    }
}

#[test]
fn accepted_work_in_a_flood_of_the_most_urgent_rank_is_in_time_and_others_keep_their_minimum() {
    for (name, loads) in [("5", [1.5, 2.0, 1.5]), ("flood of the most", [5.0, 0.3, 0.3])] {
        let rows = simulate(loads, WARM_UP);
        show(name, &rows);
        assert!(percent(rows[0].in_time, rows[0].served) >= IN_TIME_PERCENT_MIN, "{name}");
        let others = f64::from(MINIMUM_PERCENTS[1] + MINIMUM_PERCENTS[2]);
        assert!(
            rows[0].used >= (100.0 - others) * ROUNDING_FACTOR,
            "{name}: the most urgent rank gets less than the others leave"
        );
        assert!(keeps_minimums(loads, &rows), "{name}");
    }
}

#[test]
fn a_flood_at_freshly_started_agents_leaves_the_most_urgent_rank_in_time() {
    let rows = simulate([0.2, 0.2, 5.0], Duration::ZERO);
    show("cold", &rows);
    assert!(percent(rows[0].in_time, rows[0].sent) >= IN_TIME_PERCENT_MIN);
}
