//! The results of a load.

use std::ops::Range;

use crate::load::Tally;
use crate::outcome::Answer;

/// The results of a load.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Results by class, in the order of the generator's classes.
    pub classes: Vec<Row>,
    /// Cache reuse of the requests sent in each second since the start of the load.
    pub seconds: Vec<Reuse>,
}

/// The results of a class.
#[derive(Debug, Clone, Default)]
pub struct Row {
    /// Name of the class.
    pub name: String,
    /// Counts and times of its requests.
    pub tally: Tally,
}

/// Prompt tokens of some requests, by whether they were cached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reuse {
    /// Prompt tokens of answered requests.
    pub prompt: u64,
    /// Those of `prompt` that were cached.
    pub cached: u64,
    /// Those of `prompt` that one [`ChatCache`](crate::load::ChatCache) shared by all engines
    /// would have reused.
    pub shared_cache: u64,
    /// Prompt tokens of earlier turns, including those of requests that were not answered.
    pub earlier: u64,
    /// Those of `earlier` that the simulated placement of
    /// [`Simulation`](crate::load::Simulation) would have reused.
    pub simulated: u64,
}

impl Reuse {
    /// Returns the share of the prompt tokens that was cached, from 0 to 1.
    pub fn cached_share(&self) -> f64 {
        self.cached as f64 / self.prompt.max(1) as f64
    }

    /// Returns the share of the tokens of earlier turns that was cached, from 0 to 1. A
    /// refused request counts as no reuse, so that refusing requests can't raise it.
    pub fn earlier_cached_share(&self) -> f64 {
        self.cached as f64 / self.earlier.max(1) as f64
    }

    /// Returns the share of the tokens of earlier turns that the simulated placement
    /// would have reused, from 0 to 1.
    pub fn earlier_simulated_share(&self) -> f64 {
        self.simulated as f64 / self.earlier.max(1) as f64
    }

    /// Returns the share of the prompt tokens that the simulated shared cache would have
    /// reused, from 0 to 1.
    pub fn shared_cache_share(&self) -> f64 {
        self.shared_cache as f64 / self.prompt.max(1) as f64
    }
}

impl Report {
    /// Returns the sum over all classes.
    pub fn whole(&self) -> Tally {
        let mut whole = Tally::default();
        for row in &self.classes {
            whole.add(&row.tally);
        }
        whole
    }

    /// Returns the sum of the reuse over a range of seconds since the start.
    pub fn reuse(&self, seconds: Range<usize>) -> Reuse {
        let end = seconds.end.min(self.seconds.len());
        let slice = self.seconds.get(seconds.start.min(end)..end).unwrap_or_default();
        let mut sum = Reuse::default();
        for second in slice {
            sum.prompt += second.prompt;
            sum.cached += second.cached;
            sum.shared_cache += second.shared_cache;
            sum.earlier += second.earlier;
            sum.simulated += second.simulated;
        }
        sum
    }

    pub(crate) fn record_request(&mut self, second: usize, earlier: u64, simulated: u64) {
        let reuse = self.second(second);
        reuse.earlier += earlier;
        reuse.simulated += simulated;
    }

    pub(crate) fn record_answer(&mut self, second: usize, answer: &Answer, shared_cache: u64) {
        let reuse = self.second(second);
        reuse.prompt += answer.prompt_tokens;
        reuse.cached += answer.cached_tokens;
        reuse.shared_cache += shared_cache;
    }

    fn second(&mut self, second: usize) -> &mut Reuse {
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Reuse::default());
        }
        &mut self.seconds[second]
    }
}
