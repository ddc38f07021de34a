//! The Zipf distribution.

use rand::RngExt;

/// A Zipf distribution of indexes: the probability of index `i` is proportional to
/// `1 / (i + 1)^exponent`.
#[derive(Debug, Clone)]
pub struct Zipf {
    cumulative: Vec<f64>,
}

impl Zipf {
    /// Creates a distribution of `count` indexes; with exponent 0 all are equally likely.
    pub fn new(count: usize, exponent: f64) -> Zipf {
        let mut sum = 0.0;
        let add = |index: usize| {
            sum += (index as f64 + 1.0).powf(-exponent);
            sum
        };
        Zipf { cumulative: (0..count).map(add).collect() }
    }

    /// Draws a random index.
    pub fn choose<R: RngExt>(&self, random: &mut R) -> usize {
        let total = self.cumulative.last().copied().unwrap_or_default();
        let drawn = random.random::<f64>() * total;
        let index = self.cumulative.partition_point(|bound| *bound <= drawn);
        index.min(self.cumulative.len().saturating_sub(1))
    }
}
