//! Engines that fail or answer far later than the others, left out for a while.
//!
//! An engine is ejected for a time that doubles with each ejection. After it
//! a single request probes it. Never more than a third of the engines that
//! hold what a request needs are left out, because the rest has to carry
//! their work. See `docs/decisions/retries.md`.

mod health;
mod latency;

use std::time::Duration;

use health::Health;
pub use health::Verdict;
use latency::Latency;
use latency::is_far_above;
use wire::id;

/// One of so many engines may be left out.
const EJECTED_PART: usize = 3;

/// Entries for engines not heard of for this long are forgotten.
const AGE: Duration = Duration::from_secs(600);

/// What is known of each engine's health, sorted by engine.
#[derive(Debug, Clone, Default)]
pub struct Outliers {
    engines: Vec<Engine>,
}

#[derive(Debug, Clone)]
struct Engine {
    name: id::Engine,
    health: Health,
    latency: Latency,
    at: Duration,
}

impl Outliers {
    /// Takes in that an engine's agent answered, and how long its first frame
    /// took; says whether the engine is left out for it.
    pub fn answered(&mut self, engine: &str, latency: Duration, now: Duration) -> bool {
        let median = self.median();
        let engine = self.engine(engine, now);
        let known = match engine.health.is_ejected() {
            // A probe is judged by itself, not by the answers that led to the ejection.
            true => Some(latency),
            false => engine.latency.observe(latency),
        };
        if !is_far_above(known, median) {
            engine.health.succeeded();
            return false;
        }
        engine.latency = Latency::default();
        engine.health.slow(now)
    }

    /// Takes in that an engine's agent could not be reached, broke off or stayed
    /// silent; says whether the engine is left out for it.
    pub fn failed(&mut self, engine: &str, now: Duration) -> bool {
        self.engine(engine, now).health.failed(now)
    }

    /// Decides for each engine that holds what a request needs whether it may be chosen.
    pub fn verdicts(&self, engines: &[&str], now: Duration) -> Vec<Verdict> {
        let mut verdicts: Vec<Verdict> =
            engines.iter().map(|engine| self.verdict(engine, now)).collect();
        let most = engines.len() / EJECTED_PART;
        let mut out: Vec<usize> =
            (0..engines.len()).filter(|index| verdicts[*index] == Verdict::Ejected).collect();
        // Those that were ejected for the shortest time come back first.
        out.sort_by_key(|index| (self.ejected_until(engines[*index]), engines[*index]));
        let back = out.len().saturating_sub(most);
        for index in out.into_iter().take(back) {
            verdicts[index] = Verdict::Open;
        }
        verdicts
    }

    /// Whether an engine failed and has not answered well since, whatever the
    /// others do. One that isn't needed to carry work is better left alone then.
    pub fn is_failing(&self, engine: &str) -> bool {
        self.find(engine).is_ok_and(|index| self.engines[index].health.is_ejected())
    }

    /// Takes the one probe that an engine is due; says whether this request may be it.
    pub fn probe(&mut self, engine: &str, now: Duration) -> bool {
        let health = &mut self.engine(engine, now).health;
        let due = health.verdict(now) == Verdict::Probe;
        if due {
            health.probed(now);
        }
        due
    }

    fn verdict(&self, engine: &str, now: Duration) -> Verdict {
        match self.find(engine) {
            Ok(index) => self.engines[index].health.verdict(now),
            Err(_) => Verdict::Open,
        }
    }

    fn ejected_until(&self, engine: &str) -> Duration {
        self.find(engine).map_or(Duration::ZERO, |index| self.engines[index].health.until())
    }

    fn median(&self) -> Option<Duration> {
        let mut known: Vec<Duration> =
            self.engines.iter().filter_map(|engine| engine.latency.mean()).collect();
        if known.is_empty() {
            return None;
        }
        let middle = known.len() / 2;
        Some(*known.select_nth_unstable(middle).1)
    }

    fn engine(&mut self, name: &str, now: Duration) -> &mut Engine {
        let index = match self.find(name) {
            Ok(index) => index,
            Err(_) => {
                self.engines.retain(|engine| now.saturating_sub(engine.at) <= AGE);
                let index = self.engines.partition_point(|engine| engine.name.as_str() < name);
                let engine = Engine {
                    name: name.to_owned(),
                    health: Health::default(),
                    latency: Latency::default(),
                    at: now,
                };
                self.engines.insert(index, engine);
                index
            }
        };
        let engine = &mut self.engines[index];
        engine.at = now;
        engine
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.engines.binary_search_by(|engine| engine.name.as_str().cmp(name))
    }
}
