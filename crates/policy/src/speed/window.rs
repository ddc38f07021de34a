//! Sums of deviations that are forgotten over time.

use std::time::Duration;

/// A weighted sum of deviations, each a logarithm of a ratio of times.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Evidence {
    pub(super) weight: f64,
    pub(super) sum: f64,
}

impl Evidence {
    /// Returns the mean deviation; 0 without any.
    pub(super) fn mean(self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 0.0 }
    }

    /// Returns the evidence relative to a deviation that all endpoints have in common.
    pub(super) fn centred(self, centre: f64) -> Evidence {
        Evidence { sum: self.sum - self.weight * centre, ..self }
    }

    /// Returns what is left of the evidence after a time.
    pub(super) fn decayed(self, age: Duration, span: Duration) -> Evidence {
        let factor = (-age.as_secs_f64() / span.as_secs_f64()).exp();
        Evidence { weight: self.weight * factor, sum: self.sum * factor }
    }

    /// Returns the evidence together with other evidence.
    pub(super) fn plus(self, other: Evidence) -> Evidence {
        Evidence { weight: self.weight + other.weight, sum: self.sum + other.sum }
    }

    /// By how many standard errors the mean differs from 0, given the spread of deviations.
    pub(super) fn significance(self, spread: f64) -> f64 {
        if self.weight > 0.0 { self.sum.abs() / (spread * self.weight.sqrt()) } else { 0.0 }
    }
}

/// Evidence of which a part is forgotten over time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Window {
    evidence: Evidence,
    /// Time up to which the evidence has decayed.
    at: Duration,
    /// Time in which it decays to 1/e.
    span: Duration,
}

impl Window {
    pub(super) fn new(span: Duration) -> Window {
        Window { evidence: Evidence::default(), at: Duration::ZERO, span }
    }

    /// Returns what is left of the evidence.
    pub(super) fn evidence(&self, now: Duration) -> Evidence {
        self.evidence.decayed(now.saturating_sub(self.at), self.span)
    }

    /// Adds a deviation.
    pub(super) fn add(&mut self, weight: f64, deviation: f64, now: Duration) {
        let added = Evidence { weight, sum: weight * deviation };
        self.evidence = self.evidence(now).plus(added);
        self.at = self.at.max(now);
    }
}
