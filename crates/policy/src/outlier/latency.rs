//! The latency of an engine's first frames, and when it is an outlier.

use std::time::Duration;

/// Answers after which the mean is meaningful.
const MEAN_MIN_ANSWERS: u32 = 10;

/// The latest answer has a weight of one in this many.
const MEAN_WINDOW_ANSWERS: u32 = 8;

/// An engine is an outlier above this multiple of all engines' median.
const OUTLIER_MEDIAN_MULTIPLE: u32 = 5;

/// Up to this latency no engine is an outlier, whatever the median.
const OUTLIER_MIN_LATENCY: Duration = Duration::from_millis(50);

/// An exponentially weighted moving average of latencies.
#[derive(Debug, Clone, Default)]
pub(super) struct Latency {
    mean: Duration,
    /// Number of answers.
    answers: u32,
}

impl Latency {
    /// Records a latency and returns the mean, if there were enough answers.
    pub(super) fn observe(&mut self, latency: Duration) -> Option<Duration> {
        self.mean = match self.answers {
            0 => latency,
            _ => (self.mean * (MEAN_WINDOW_ANSWERS - 1) + latency) / MEAN_WINDOW_ANSWERS,
        };
        self.answers = self.answers.saturating_add(1);
        self.mean()
    }

    /// Returns the mean, if there were enough answers.
    pub(super) fn mean(&self) -> Option<Duration> {
        (self.answers >= MEAN_MIN_ANSWERS).then_some(self.mean)
    }
}

/// Returns whether a latency is far above the median of all engines.
pub(super) fn is_far_above(latency: Option<Duration>, median: Option<Duration>) -> bool {
    let (Some(latency), Some(median)) = (latency, median) else { return false };
    latency > OUTLIER_MIN_LATENCY && latency > median * OUTLIER_MEDIAN_MULTIPLE
}
