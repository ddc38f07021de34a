//! The load that the engine reports with a lag.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The load of the engine, as `/metrics` reports it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    /// Fraction of the prefix cache that is in use, from 0 to 1.
    pub(crate) cache_usage: f64,
    /// Prompt tokens of all requests so far.
    pub(crate) queried_tokens: u64,
    /// Prompt tokens found in the prefix cache so far.
    pub(crate) cached_tokens: u64,
}

/// The recorded loads that are younger than the lag, and the one before them.
#[derive(Debug)]
pub(crate) struct History {
    lag: Duration,
    loads: VecDeque<(Instant, Load)>,
}

impl History {
    /// Creates an empty history that reports with `lag`.
    pub(crate) fn new(lag: Duration) -> Self {
        Self { lag, loads: VecDeque::new() }
    }

    /// Records the load as of now.
    pub(crate) fn record(&mut self, load: Load) {
        self.prune();
        self.loads.push_back((Instant::now(), load));
    }

    /// Returns the load as it was one lag ago; zeros if none was recorded by then.
    pub(crate) fn lagged(&mut self) -> Load {
        self.prune();
        match self.loads.front() {
            Some((recorded_at, load)) if recorded_at.elapsed() >= self.lag => *load,
            _ => Load::default(),
        }
    }

    /// Removes the loads that are superseded by another one older than the lag.
    fn prune(&mut self) {
        while self.loads.get(1).is_some_and(|(recorded_at, _)| recorded_at.elapsed() >= self.lag) {
            self.loads.pop_front();
        }
    }
}

impl Load {
    /// Returns the load in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        let mut add = |name: &str, kind: &str, value: String| {
            text.push_str(&format!("# TYPE vllm:{name} {kind}\nvllm:{name} {value}\n"));
        };
        add("num_requests_running", "gauge", self.running.to_string());
        add("num_requests_waiting", "gauge", self.waiting.to_string());
        add("kv_cache_usage_perc", "gauge", self.cache_usage.to_string());
        add("prefix_cache_queries_total", "counter", self.queried_tokens.to_string());
        add("prefix_cache_hits_total", "counter", self.cached_tokens.to_string());
        text
    }
}
