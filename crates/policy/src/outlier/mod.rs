//! Outlier ejection of engines that fail or answer far later than the others.
//!
//! An engine is ejected for a time that doubles with each ejection. When it is
//! over, a single request probes the engine. At most a third of the engines that
//! hold what a request needs are ejected, because the others have to take over
//! their work. See `docs/decisions/retries.md`.

mod health;
mod latency;

use std::time::Duration;

use health::Health;
pub use health::Verdict;
use latency::Latency;
use latency::is_far_above;
use wire::id;

/// At most one engine in this many is ejected.
const MAX_EJECTED_DIVISOR: usize = 3;

/// Engines without an event for this time are forgotten.
const ENGINE_TTL: Duration = Duration::from_secs(600);

/// The recorded health and latency of each engine.
#[derive(Debug, Clone, Default)]
pub struct Outliers {
    /// Sorted by name.
    engines: Vec<Engine>,
}

#[derive(Debug, Clone)]
struct Engine {
    name: id::Engine,
    health: Health,
    latency: Latency,
    /// Time of the last event.
    at: Duration,
}

impl Outliers {
    /// Records an answer of an engine and the latency of its first frame; returns
    /// whether the engine is ejected for it.
    pub fn record_answer(&mut self, engine: &str, latency: Duration, now: Duration) -> bool {
        let median = self.median();
        let engine = self.engine(engine, now);
        let judged = match engine.health.is_ejected() {
            // A probe counts alone, without the answers that led to the ejection.
            true => Some(latency),
            false => engine.latency.observe(latency),
        };
        if !is_far_above(judged, median) {
            engine.health.record_success();
            return false;
        }
        engine.latency = Latency::default();
        engine.health.record_slow_answer(now)
    }

    /// Records that an engine could not be reached, broke off or did not answer;
    /// returns whether the engine is ejected for it.
    pub fn record_failure(&mut self, engine: &str, now: Duration) -> bool {
        self.engine(engine, now).health.record_failure(now)
    }

    /// Returns for each of `engines`, which hold what a request needs, whether the
    /// request may be sent to it.
    pub fn verdicts(&self, engines: &[&str], now: Duration) -> Vec<Verdict> {
        let mut verdicts: Vec<Verdict> =
            engines.iter().map(|engine| self.verdict(engine, now)).collect();
        let max_ejected = engines.len() / MAX_EJECTED_DIVISOR;
        let mut ejected: Vec<usize> =
            (0..engines.len()).filter(|index| verdicts[*index] == Verdict::Ejected).collect();
        // Those whose ejection ends first are readmitted first.
        ejected.sort_by_key(|index| (self.ejected_until(engines[*index]), engines[*index]));
        let readmitted = ejected.len().saturating_sub(max_ejected);
        for index in ejected.into_iter().take(readmitted) {
            verdicts[index] = Verdict::Available;
        }
        verdicts
    }

    /// Returns whether an engine was ejected and has had no good answer since, even
    /// if [`Outliers::verdicts`] readmits it.
    ///
    /// Callers that don't depend on this engine should avoid it then.
    pub fn is_failing(&self, engine: &str) -> bool {
        self.find(engine).is_ok_and(|index| self.engines[index].health.is_ejected())
    }

    /// Starts the single probe of an engine if one is due; returns whether this
    /// request is the probe.
    pub fn try_probe(&mut self, engine: &str, now: Duration) -> bool {
        let health = &mut self.engine(engine, now).health;
        let is_due = health.verdict(now) == Verdict::Probe;
        if is_due {
            health.start_probe(now);
        }
        is_due
    }

    fn verdict(&self, engine: &str, now: Duration) -> Verdict {
        match self.find(engine) {
            Ok(index) => self.engines[index].health.verdict(now),
            Err(_) => Verdict::Available,
        }
    }

    fn ejected_until(&self, engine: &str) -> Duration {
        self.find(engine).map_or(Duration::ZERO, |index| self.engines[index].health.ejected_until())
    }

    /// Returns the median of the engines' mean latencies.
    fn median(&self) -> Option<Duration> {
        let mut means: Vec<Duration> =
            self.engines.iter().filter_map(|engine| engine.latency.mean()).collect();
        if means.is_empty() {
            return None;
        }
        let middle = means.len() / 2;
        Some(*means.select_nth_unstable(middle).1)
    }

    /// Returns the engine's entry, which is created if missing; forgets old ones then.
    fn engine(&mut self, name: &str, now: Duration) -> &mut Engine {
        let index = match self.find(name) {
            Ok(index) => index,
            Err(_) => {
                self.engines.retain(|engine| now.saturating_sub(engine.at) <= ENGINE_TTL);
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
