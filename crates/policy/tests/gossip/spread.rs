//! Time for a new configuration to reach all processes, in a simulation with its own clock.
//!
//! `cargo test -p policy --release --test gossip spread -- --nocapture` prints
//! the table of `docs/decisions/membership.md`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use policy::gossip::Neighbours;
use policy::revision::Offer;
use policy::revision::Source;
use policy::revision::Tracker;
use policy::revision::watchers;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wire::Member;
use wire::id;

/// Longest time until a confirmed configuration is in force in all processes.
const LIMIT: Duration = Duration::from_secs(6);

/// Time between two beats of a process.
const BEAT: Duration = Duration::from_secs(1);

/// Time for a message between regions, and for the pull that follows.
const HOP: Duration = Duration::from_millis(50);
const PULL: Duration = Duration::from_millis(200);

/// Number of random fleets simulated for each size.
const SEEDS: u64 = 3;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A process's own beat is due.
    Beat(usize),
    /// A process learns the revision of another.
    Hear(usize, usize),
    /// The pull of a process is answered.
    Pulled(usize),
}

struct Fleet {
    trackers: Vec<Tracker>,
    neighbours: Vec<Neighbours>,
    is_pulling: Vec<bool>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    is_eager: bool,
    /// Number of processes that have not applied the revision.
    behind: usize,
    exchanges: usize,
}

struct Outcome {
    /// When the revision was in force in all processes.
    all: Duration,
    exchanges: usize,
}

fn index(vm: &str) -> usize {
    vm[3..].parse().unwrap()
}

impl Fleet {
    /// Creates a fleet of which `readers` read the new head at the start. With `is_eager`
    /// a process that applies a revision announces it to all neighbours at once.
    fn new(graph: &[Neighbours], readers: &[usize], is_eager: bool, seed: u64) -> Fleet {
        let mut random = Pcg64::seed_from_u64(seed);
        let size = graph.len();
        let mut fleet = Fleet {
            trackers: vec![Tracker::new(Duration::ZERO); size],
            neighbours: graph.to_vec(),
            is_pulling: vec![false; size],
            events: BinaryHeap::new(),
            is_eager,
            behind: size,
            exchanges: 0,
        };
        for own in 0..size {
            fleet.at(random.random_range(Duration::ZERO..BEAT), Event::Beat(own));
        }
        for reader in readers {
            fleet.at(HOP, Event::Pulled(*reader));
        }
        fleet
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.events.push(Reverse((time, event)));
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                Event::Beat(own) => self.beat(own, now),
                Event::Hear(own, peer) => self.hear(own, peer, now),
                Event::Pulled(own) => self.pulled(own, now),
            }
            if self.behind == 0 {
                return Outcome { all: now, exchanges: self.exchanges };
            }
        }
        unreachable!("beats never end")
    }

    fn beat(&mut self, own: usize, now: Duration) {
        self.at(now + BEAT, Event::Beat(own));
        let Some(peer) = self.neighbours[own].next_peer().map(|vm| index(vm)) else { return };
        self.exchange(own, peer, now);
    }

    /// Exchanges a beat in both directions.
    fn exchange(&mut self, own: usize, peer: usize, now: Duration) {
        self.exchanges += 1;
        self.at(now + HOP, Event::Hear(peer, own));
        self.at(now + HOP * 2, Event::Hear(own, peer));
    }

    fn hear(&mut self, own: usize, peer: usize, now: Duration) {
        let revision: id::Revision = self.trackers[peer].in_force();
        if revision > self.trackers[own].in_force() && !self.is_pulling[own] {
            self.is_pulling[own] = true;
            self.at(now + PULL, Event::Pulled(own));
        }
    }

    fn pulled(&mut self, own: usize, now: Duration) {
        let offer = Offer { revision: 1, source: Source::Service, is_intact: true };
        if !self.trackers[own].accept(&offer) {
            return;
        }
        self.behind -= 1;
        if !self.is_eager {
            return;
        }
        for peer in self.neighbours[own].all().to_vec() {
            self.exchange(own, index(&peer), now);
        }
    }
}

/// Creates the neighbours of each process.
fn graph(size: usize, seed: u64) -> Vec<Neighbours> {
    let roster = super::roster(0, size);
    let neighbours = |(index, member): (usize, &Member)| {
        let mut neighbours = Neighbours::new(&member.vm);
        neighbours.refresh(&roster, seed + index as u64, Duration::ZERO);
        neighbours
    };
    roster.members().iter().enumerate().map(neighbours).collect()
}

/// Returns the slowest outcome over the seeds, one graph for each.
fn worst(graphs: &[Vec<Neighbours>], readers: &[usize], is_eager: bool) -> Outcome {
    let seeds = 0..;
    let outcomes = graphs
        .iter()
        .zip(seeds)
        .map(|(graph, seed)| Fleet::new(graph, readers, is_eager, seed).run());
    outcomes.max_by_key(|outcome| outcome.all).unwrap()
}

/// Returns the indices of the processes that watch the key-value service.
fn watching(size: usize) -> Vec<usize> {
    let roster = super::roster(0, size);
    let members = roster.members();
    let chosen = members.iter().filter(|own| watchers::is_watcher(own, members));
    chosen.map(|own| index(&own.vm)).collect()
}

#[test]
fn a_configuration_is_in_force_everywhere_within_the_limit() {
    println!(
        "| processes | watchers, in turn | watchers, at once | one, at once | exchanges a process |"
    );
    println!("|---|---|---|---|---|");
    for size in [10, 40, 100, 400, 1560] {
        let watching = watching(size);
        let graphs: Vec<_> = (0..SEEDS).map(|seed| graph(size, seed << 32)).collect();
        let plain = worst(&graphs, &watching, false);
        let eager = worst(&graphs, &watching, true);
        // The service fails right after it answered one watch.
        let single = worst(&graphs, &watching[..1], true);
        let exchanges = eager.exchanges as f64 / size as f64;
        let seconds = |outcome: &Outcome| outcome.all.as_secs_f64();
        let (plain, eager, single) = (seconds(&plain), seconds(&eager), seconds(&single));
        println!("| {size} | {plain:.2} s | {eager:.2} s | {single:.2} s | {exchanges:.1} |");
        assert!(eager.max(single) < LIMIT.as_secs_f64(), "{size} processes");
    }
}
