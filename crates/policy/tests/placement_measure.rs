//! Cache reuse and load of each placement strategy, in a small simulation of engines.
//!
//! `cargo test -p policy --test placement_measure -- --nocapture` prints the
//! table. Time is counted in requests, so the figures are the same in each run.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use policy::bound;
use policy::candidate::Candidate;
use policy::candidate::Distance;
use policy::placement;
use policy::placement::Kind;
use policy::placement::Location;
use policy::placement::Locations;
use policy::placement::Placement;
use policy::placement::Query;
use policy::placement::fingerprint;
use policy::retry::Budget;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wire::Mean;

const SEED: u64 = 4;
const SLOTS: u32 = 8;
const BOUND: f32 = 1.25;
const ATTEMPTS: usize = 3;
const RETRY_PERCENT: u32 = 20;
const REQUESTS: u64 = 12_000;
/// Requests before reuse is counted.
const WARM_UP_REQUESTS: u64 = 4_000;
/// Chats that an engine's cache holds.
const CACHE_CHATS: usize = 300;
/// Requests between two rounds that tell entries the loads of all engines.
const GOSSIP_PERIOD_REQUESTS: u64 = 40;

/// The parameters of a run.
#[derive(Clone, Copy)]
struct Setting {
    name: &'static str,
    engines: usize,
    entries: usize,
    chats: usize,
    /// Mean number of running requests, as a fraction of all slots.
    utilisation: f64,
    /// Requests after which an engine is replaced and its cache lost, again and again.
    replace_period: Option<u64>,
}

const SETTINGS: [Setting; 4] = [
    Setting {
        name: "sofia",
        engines: 10,
        entries: 2,
        chats: 4000,
        utilisation: 0.7,
        replace_period: None,
    },
    Setting {
        name: "churn",
        engines: 10,
        entries: 2,
        chats: 4000,
        utilisation: 0.7,
        replace_period: Some(2000),
    },
    Setting {
        name: "entries",
        engines: 12,
        entries: 8,
        chats: 4000,
        utilisation: 0.7,
        replace_period: None,
    },
    Setting {
        name: "full",
        engines: 10,
        entries: 2,
        chats: 4000,
        utilisation: 0.95,
        replace_period: None,
    },
];

struct Engine {
    name: String,
    requests: u32,
    /// Chats whose context is cached, the most recently used last.
    cache: VecDeque<u64>,
}

/// What a run counts after its warm-up.
#[derive(Default)]
struct Tally {
    counted: u32,
    hits: u32,
    refused: u32,
    attempts: u32,
    /// The highest load of an engine, as a multiple of the mean.
    peak: f32,
}

impl Tally {
    fn reuse(&self) -> f64 {
        f64::from(self.hits) / f64::from(self.counted)
    }
}

/// A placement strategy, or an oracle that knows all caches and loads.
enum Chooser {
    Placement {
        placement: Box<dyn Placement>,
        /// Whether an entry remembers which engines hold its chats' contexts.
        remembers: bool,
        /// Whether homes are notified of spilled chats and redirect to their engines.
        is_noted: bool,
    },
    Oracle,
}

struct Entry {
    loads: Vec<u32>,
    locations: Locations,
    budget: Budget,
}

/// A request that an engine runs for an entry.
struct Running {
    end: u64,
    engine: usize,
    entry: usize,
}

struct Fleet {
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    running: Vec<Running>,
    random: Pcg64Mcg,
    /// Cumulative weights of the chats by Zipf's law.
    weights: Vec<f64>,
    /// The notes that the agents of all homes received, in one table.
    noted: Locations,
    /// Chats that were served at least once.
    seen: BTreeSet<u64>,
}

impl Fleet {
    fn new(setting: &Setting) -> Fleet {
        let engine =
            |index| Engine { name: format!("engine-{index}"), requests: 0, cache: VecDeque::new() };
        let entry = || Entry {
            loads: vec![0; setting.engines],
            locations: Locations::default(),
            budget: Budget::default(),
        };
        let mut sum = 0.0;
        let weight = |rank: usize| {
            sum += 1.0 / (rank as f64 + 1.0);
            sum
        };
        Fleet {
            engines: (0..setting.engines).map(engine).collect(),
            entries: (0..setting.entries).map(|_| entry()).collect(),
            running: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(SEED),
            weights: (0..setting.chats).map(weight).collect(),
            noted: Locations::default(),
            seen: BTreeSet::new(),
        }
    }

    /// Draws a chat by Zipf's law.
    fn draw_chat(&mut self) -> u64 {
        let total = self.weights[self.weights.len() - 1];
        let drawn = self.random.random_range(0.0..total);
        let rank = self.weights.partition_point(|weight| *weight < drawn);
        // Spreads the ids like hashes of real chats.
        (rank as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    fn per_slot(&self) -> f32 {
        let requests: u32 = self.engines.iter().map(|engine| engine.requests).sum();
        requests as f32 / (self.engines.len() as u32 * SLOTS) as f32
    }

    /// Returns whether an engine is below its load bound, computed from the true mean.
    fn has_room(&self, engine: usize) -> bool {
        let weight = self.engines.len() as f32;
        let mean = Mean { per_slot: self.per_slot(), weight, age: Duration::ZERO };
        self.engines[engine].requests < bound::limit(BOUND, SLOTS, Some(mean))
    }

    fn end_requests(&mut self, now: u64) {
        for ended in self.running.extract_if(.., |running| running.end <= now) {
            self.engines[ended.engine].requests -= 1;
            let known = &mut self.entries[ended.entry].loads[ended.engine];
            *known = known.saturating_sub(1);
        }
    }

    fn gossip(&mut self) {
        for entry in &mut self.entries {
            entry.loads = self.engines.iter().map(|engine| engine.requests).collect();
        }
    }

    fn replace_engine(&mut self, now: u64) {
        let index = now as usize % self.engines.len();
        self.engines[index].cache.clear();
        self.engines[index].name = format!("engine-{index}-{now}");
    }

    fn candidates(&self, entry: usize) -> Vec<Candidate> {
        let candidate = |(engine, requests): (&Engine, &u32)| Candidate {
            engine: engine.name.clone(),
            slots: SLOTS,
            requests: *requests,
            distance: Distance::Region,
        };
        self.engines.iter().zip(&self.entries[entry].loads).map(candidate).collect()
    }

    /// Places a chat's request of an entry; returns the engine that serves it and the
    /// number of attempts.
    fn place(
        &mut self,
        chooser: &Chooser,
        entry: usize,
        chat: u64,
        now: u64,
    ) -> (Option<usize>, u32) {
        let Chooser::Placement { placement, remembers, is_noted } = chooser else {
            return (self.oracle(chat), 1);
        };
        let candidates = self.candidates(entry);
        let clock = Duration::from_millis(now);
        let home =
            placement::home(chat, &candidates).map(|home| fingerprint(&candidates[home].engine));
        let home = home.unwrap_or_default();
        let own =
            self.entries[entry].locations.locate(chat, clock).filter(|last| last.home != home);
        let noted = self.noted.locate(chat, clock).filter(|last| *is_noted && last.home == home);
        let mut attempts = u32::from(own.is_none() && noted.is_some());
        let query = Query {
            chat: Some(chat),
            last: own.or(noted).filter(|_| *remembers).map(|last| last.engine),
            mean: self.known_mean(entry),
            bound: BOUND,
            is_first_turn: !self.seen.contains(&chat),
            can_try_full: self.seen.contains(&chat) && self.entries[entry].budget.has_surplus(),
            seed: self.random.random(),
        };
        let order = placement.order(&query, &candidates);
        self.entries[entry].budget.earn(RETRY_PERCENT);
        for engine in order.into_iter().take(ATTEMPTS) {
            attempts += 1;
            let has_room = self.has_room(engine);
            self.entries[entry].loads[engine] = self.engines[engine].requests + u32::from(has_room);
            if !has_room && !self.entries[entry].budget.spend() {
                break;
            }
            if !has_room {
                continue;
            }
            let served_by = fingerprint(&candidates[engine].engine);
            if served_by == home {
                self.entries[entry].locations.forget(chat);
                self.noted.forget(chat);
                self.seen.insert(chat);
            } else {
                // Homes are notified only of chats they never served: otherwise the home
                // has the context as well.
                let is_first = self.seen.insert(chat);
                let location = Location { engine: served_by, home };
                self.entries[entry].locations.record(chat, location, clock);
                if is_first || query.last.is_some() {
                    self.noted.record(chat, location, clock);
                }
            }
            return (Some(engine), attempts);
        }
        (None, attempts)
    }

    /// Returns the mean load as an entry knows it.
    fn known_mean(&self, entry: usize) -> Option<Mean> {
        let loads = &self.entries[entry].loads;
        let slots = loads.len() as u32 * SLOTS;
        let per_slot = loads.iter().sum::<u32>() as f32 / slots as f32;
        Some(Mean { per_slot, weight: loads.len() as f32, age: Duration::ZERO })
    }

    /// Returns the least loaded of the engines below the bound that have the chat
    /// cached, or else of all below the bound.
    fn oracle(&self, chat: u64) -> Option<usize> {
        let available = (0..self.engines.len()).filter(|engine| self.has_room(*engine));
        available.min_by_key(|engine| {
            let engine = &self.engines[*engine];
            (!engine.cache.contains(&chat), engine.requests)
        })
    }

    /// Runs a request; returns whether the engine had the chat cached.
    fn serve(&mut self, running: Running, chat: u64) -> bool {
        let engine = &mut self.engines[running.engine];
        self.running.push(running);
        engine.requests += 1;
        let hit = engine.cache.iter().position(|cached| *cached == chat);
        hit.map(|index| engine.cache.remove(index));
        engine.cache.push_back(chat);
        if engine.cache.len() > CACHE_CHATS {
            engine.cache.pop_front();
        }
        hit.is_some()
    }
}

fn run(setting: &Setting, chooser: &Chooser) -> Tally {
    let mut fleet = Fleet::new(setting);
    let mut tally = Tally::default();
    let mean_time = setting.utilisation * (setting.engines as u32 * SLOTS) as f64;
    for now in 0..REQUESTS {
        fleet.end_requests(now);
        if now % GOSSIP_PERIOD_REQUESTS == 0 {
            fleet.gossip();
        }
        if setting.replace_period.is_some_and(|period| now % period == period - 1) {
            fleet.replace_engine(now);
        }
        let chat = fleet.draw_chat();
        let time = -fleet.random.random_range(f64::MIN_POSITIVE..1.0).ln() * mean_time;
        let entry = fleet.random.random_range(0..setting.entries);
        let (engine, attempts) = fleet.place(chooser, entry, chat, now);
        let end = now + 1 + time as u64;
        let hit = engine.map(|engine| fleet.serve(Running { end, engine, entry }, chat));
        if now < WARM_UP_REQUESTS {
            continue;
        }
        tally.attempts += attempts;
        tally.counted += 1;
        tally.hits += u32::from(hit == Some(true));
        tally.refused += u32::from(hit.is_none());
        let highest = fleet.engines.iter().map(|engine| engine.requests).max().unwrap_or_default();
        tally.peak = tally.peak.max(highest as f32 / (fleet.per_slot() * SLOTS as f32));
    }
    tally
}

fn chooser(kind: Kind, remembers: bool, is_noted: bool) -> Chooser {
    Chooser::Placement { placement: kind.placement(), remembers, is_noted }
}

fn print(setting: &Setting, name: &str, tally: &Tally) {
    println!(
        "| {} | {name} | {:.3} | {:.4} | {:.3} | {:.2} |",
        setting.name,
        tally.reuse(),
        f64::from(tally.refused) / f64::from(tally.counted),
        f64::from(tally.attempts) / f64::from(tally.counted),
        tally.peak,
    );
}

#[test]
fn reuse_is_above_every_baseline() {
    println!("| setting | placement | reuse | refused | attempts | peak over mean |");
    println!("|---|---|---|---|---|---|");
    for setting in &SETTINGS {
        let oracle = run(setting, &Chooser::Oracle);
        print(setting, "oracle", &oracle);
        let bounded = run(setting, &chooser(Kind::Bounded, true, true));
        print(setting, "bounded", &bounded);
        print(
            setting,
            "bounded, homes not told",
            &run(setting, &chooser(Kind::Bounded, true, false)),
        );
        print(
            setting,
            "bounded without places",
            &run(setting, &chooser(Kind::Bounded, false, false)),
        );
        for kind in &Kind::ALL[1..] {
            let baseline = run(setting, &chooser(*kind, false, false));
            print(setting, kind.name(), &baseline);
            assert!(bounded.reuse() > baseline.reuse(), "{} {}", setting.name, kind.name());
        }
    }
}
