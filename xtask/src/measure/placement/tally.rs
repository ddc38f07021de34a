//! Counts of a simulation run.

use std::ops::Range;

/// Counts of a simulation run, by second.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    seconds: Vec<Second>,
    /// Highest load of an engine, running and waiting requests together.
    pub(crate) highest_load: u32,
    /// Acceptances after which the engine's load was above the bound for the true mean.
    pub(crate) above_bound: u64,
    /// Notes that were sent to homes.
    pub(crate) notes: u64,
}

/// Counts of the requests sent in one second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Second {
    pub(crate) sent: u64,
    pub(crate) served: u64,
    pub(crate) attempts: u64,
    /// Refusals at a chat's home, at its last place and at another engine.
    pub(crate) refused: [u64; 3],
    /// Later turns served at the same three kinds of places.
    pub(crate) placed: [u64; 3],
    /// Tokens of earlier turns in the prompts.
    pub(crate) earlier: u64,
    /// Tokens of earlier turns that were cached at the serving engine.
    pub(crate) cached: u64,
    /// Tokens of earlier turns that an oracle would have reused, which knows all caches.
    pub(crate) oracle: u64,
}

impl Tally {
    /// Returns the counts of a second, which begin at 0.
    pub(crate) fn second(&mut self, second: usize) -> &mut Second {
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
        }
        &mut self.seconds[second]
    }

    /// Returns the sum over some seconds.
    pub(crate) fn sum(&self, range: Range<usize>) -> Second {
        let end = range.end.min(self.seconds.len());
        let mut sum = Second::default();
        for second in &self.seconds[range.start.min(end)..end] {
            sum.add(second);
        }
        sum
    }
}

impl Second {
    /// Returns the fraction of the tokens of earlier turns that was cached.
    pub(crate) fn reuse(&self) -> f64 {
        self.cached as f64 / self.earlier.max(1) as f64
    }

    /// Returns the fraction of the tokens of earlier turns that an oracle would have
    /// reused.
    pub(crate) fn oracle(&self) -> f64 {
        self.oracle as f64 / self.earlier.max(1) as f64
    }

    fn add(&mut self, other: &Second) {
        self.sent += other.sent;
        self.served += other.served;
        self.attempts += other.attempts;
        self.earlier += other.earlier;
        self.cached += other.cached;
        self.oracle += other.oracle;
        for place in 0..self.placed.len() {
            self.refused[place] += other.refused[place];
            self.placed[place] += other.placed[place];
        }
    }
}
