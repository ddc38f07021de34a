//! The estimate of the mean load while loads change, compared with random probes and
//! an aggregation tree.

use std::time::Duration;

use policy::mean::Estimate;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use serde::Serialize;
use wire::Load;
use wire::Mean;

const SLOTS: u32 = 8;
const STEP: Duration = Duration::from_millis(100);
const STEPS_PER_SECOND: usize = 10;
const SECONDS: usize = 60;
/// Seconds after which errors are counted.
const WARM_UP_SECONDS: usize = 20;
/// Period of the fleet's mean load, in seconds.
const PERIOD_SECONDS: f64 = 60.0;
/// Engines that an agent probes in a second.
const PROBES_PER_SECOND: usize = 2;
/// Children of each node of the tree.
const FAN_OUT: usize = 16;

/// The fraction by which the default bound is above the mean.
const SLACK: f64 = 0.25;

/// Up to this mean load per slot an engine's limit is its slots, whatever the estimate.
const MEAN_FLOOR: f64 = 1.0 / (1.0 + SLACK);

/// Engines whose loads vary, each at random about a common mean that rises and falls.
struct Engines {
    random: Pcg32,
    /// Deviation of each engine from the common mean, in load per slot.
    deviations: Vec<f64>,
    loads: Vec<u32>,
}

impl Engines {
    fn new(count: usize) -> Engines {
        Engines {
            random: Pcg32::seed_from_u64(19),
            deviations: vec![0.0; count],
            loads: vec![0; count],
        }
    }

    fn advance(&mut self, step: usize) {
        let time = step as f64 / STEPS_PER_SECOND as f64;
        let mean = 1.0 + 0.5 * (std::f64::consts::TAU * time / PERIOD_SECONDS).sin();
        for (deviation, load) in self.deviations.iter_mut().zip(&mut self.loads) {
            *deviation = 0.99 * *deviation + self.random.random_range(-0.1..0.1);
            *load = (f64::from(SLOTS) * (mean + *deviation)).max(0.0).round() as u32;
        }
    }

    fn mean(&self) -> f64 {
        f64::from(self.loads.iter().sum::<u32>()) / (self.loads.len() as f64 * f64::from(SLOTS))
    }

    fn load(&self, engine: usize) -> Load {
        Load { running: self.loads[engine], waiting: 0, slots: SLOTS, tokens: 0 }
    }

    /// Draws the engine of the next attempt: uniformly, or in proportion to its load.
    fn next(&mut self, by_load: bool) -> usize {
        loop {
            let engine = self.random.random_range(0..self.loads.len());
            let max_load = f64::from(2 * SLOTS);
            let odds = f64::from(self.loads[engine].max(1)) / max_load;
            if !by_load || self.random.random_bool(odds.min(1.0)) {
                return engine;
            }
        }
    }
}

/// A method by which agents estimate the mean load.
trait Method {
    /// Exchanges the messages of one step.
    fn advance(&mut self, engines: &mut Engines, step: usize, now: Duration);

    /// Returns the agents' estimates with the mean ages of their samples.
    fn estimates(&self, now: Duration) -> Vec<(f64, Duration)>;
}

/// Piggybacking: answers carry loads to entries, attempts carry the entries' estimates
/// to agents.
struct Piggyback {
    by_load: bool,
    /// Per second, of all entries.
    attempts: usize,
    entries: Vec<Estimate>,
    agents: Vec<Estimate>,
}

impl Method for Piggyback {
    fn advance(&mut self, engines: &mut Engines, _: usize, now: Duration) {
        for _ in 0..self.attempts / STEPS_PER_SECOND {
            let entry = engines.random.random_range(0..self.entries.len());
            let engine = engines.next(self.by_load);
            if let Some(mean) = self.entries[entry].mean(now) {
                self.agents[engine].merge(&format!("entry-{entry}"), mean, now);
            }
            self.entries[entry].observe(&format!("engine-{engine}"), engines.load(engine), now);
        }
    }

    fn estimates(&self, now: Duration) -> Vec<(f64, Duration)> {
        let means = self.agents.iter().filter_map(|agent| agent.mean(now));
        means.map(|mean| (f64::from(mean.per_slot), mean.age)).collect()
    }
}

/// Each agent asks a few random engines for their loads.
struct Probing {
    agents: Vec<Estimate>,
}

impl Method for Probing {
    fn advance(&mut self, engines: &mut Engines, step: usize, now: Duration) {
        if !step.is_multiple_of(STEPS_PER_SECOND / PROBES_PER_SECOND) {
            return;
        }
        for agent in &mut self.agents {
            let engine = engines.next(false);
            agent.observe(&format!("engine-{engine}"), engines.load(engine), now);
        }
    }

    fn estimates(&self, now: Duration) -> Vec<(f64, Duration)> {
        let means = self.agents.iter().filter_map(|agent| agent.mean(now));
        means.map(|mean| (f64::from(mean.per_slot), mean.age)).collect()
    }
}

/// An aggregation tree: sums go up and the mean goes down by one level a second.
struct Tree {
    sums: Vec<f64>,
    means: Vec<f64>,
}

impl Method for Tree {
    fn advance(&mut self, engines: &mut Engines, step: usize, _: Duration) {
        if !step.is_multiple_of(STEPS_PER_SECOND) {
            return;
        }
        let (sums, means) = (self.sums.clone(), self.means.clone());
        let count = sums.len();
        for node in 0..count {
            let first = node * FAN_OUT + 1;
            let children = sums.get(first..count.min(first + FAN_OUT)).unwrap_or_default();
            let own = f64::from(engines.loads[node]) / f64::from(SLOTS);
            self.sums[node] = own + children.iter().sum::<f64>();
            self.means[node] = match node {
                0 => self.sums[0] / count as f64,
                _ => means[(node - 1) / FAN_OUT],
            };
        }
    }

    fn estimates(&self, _: Duration) -> Vec<(f64, Duration)> {
        let depth = |node: usize| {
            let mut node = node;
            let mut depth = 0;
            while node > 0 {
                node = (node - 1) / FAN_OUT;
                depth += 1;
            }
            depth
        };
        let max_depth = depth(self.sums.len() - 1);
        let age = |node| Duration::from_secs(depth(node) + max_depth);
        self.means.iter().enumerate().map(|(node, mean)| (*mean, age(node))).collect()
    }
}

/// Returns the 95th percentile of the relative errors, and the mean age in seconds.
fn simulate(mut method: impl Method, count: usize) -> (f64, f64) {
    let mut engines = Engines::new(count);
    let mut errors = Vec::new();
    let mut ages = Vec::new();
    for step in 0..SECONDS * STEPS_PER_SECOND {
        let now = STEP * step as u32;
        engines.advance(step);
        method.advance(&mut engines, step, now);
        if step < WARM_UP_SECONDS * STEPS_PER_SECOND || step % STEPS_PER_SECOND != 0 {
            continue;
        }
        let truth = engines.mean().max(MEAN_FLOOR);
        for (mean, age) in method.estimates(now) {
            errors.push((mean.max(MEAN_FLOOR) - truth).abs() / truth);
            ages.push(age.as_secs_f64());
        }
    }
    errors.sort_by(f64::total_cmp);
    (errors[errors.len() * 95 / 100], ages.iter().sum::<f64>() / ages.len() as f64)
}

fn piggyback(count: usize, entries: usize, attempts: usize, by_load: bool) -> Piggyback {
    let entries = vec![Estimate::default(); entries];
    Piggyback { by_load, attempts, entries, agents: vec![Estimate::default(); count] }
}

/// Returns the encoded size of a value in attempts and frames.
fn encoded_bytes(value: &impl Serialize) -> usize {
    rmp_serde::to_vec_named(value).expect("plain values can be encoded").len()
}

#[test]
fn estimates_of_changing_loads_at_agents_are_within_the_slack_of_the_bound() {
    for (count, entries, attempts) in [(12, 4, 30), (120, 36, 220), (1_200, 360, 2_200)] {
        let even = simulate(piggyback(count, entries, attempts, false), count);
        let by_load = simulate(piggyback(count, entries, attempts, true), count);
        let probing = simulate(Probing { agents: vec![Estimate::default(); count] }, count);
        let tree = simulate(Tree { sums: vec![0.0; count], means: vec![0.0; count] }, count);
        let age = Duration::from_millis(1_234);
        let mean = encoded_bytes(&Mean { per_slot: 1.25, weight: 9.5, age });
        let load = encoded_bytes(&Load { running: 8, waiting: 2, slots: SLOTS, tokens: 10_000 });
        let piggyback_bytes = attempts * (mean + load) / count;
        println!("{count} engines: error p95, age s, payload B/s and own messages/s an agent");
        for (name, (error, age), bytes, messages) in [
            ("piggyback", even, piggyback_bytes, 0),
            ("piggyback, attempts follow load", by_load, piggyback_bytes, 0),
            ("probes", probing, PROBES_PER_SECOND * 2 * load, PROBES_PER_SECOND * 4),
            ("tree", tree, 2 * 2 * load, 4),
        ] {
            println!("  {name}: {:.1} %, {age:.1}, {bytes}, {messages}", error * 100.0);
        }
        assert!(even.0 <= SLACK, "{count} engines: {:.3}", even.0);
    }
}
