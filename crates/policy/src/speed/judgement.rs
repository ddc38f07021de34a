//! Decides from deviations how fast an endpoint is.

use crate::speed::MAX_SPEED;
use crate::speed::MIN_SPEED;
use crate::speed::window::Evidence;

/// Deviations in the short window count from this on, a factor of 1.8. Of spans of 600 ms, 15 in
/// 100 of which are 2.5 times as slow, five in a row are needed to get there.
const FAST_MIN: f64 = 0.6;

/// Mean deviations in the long window count from this on. With the noise above they have a standard
/// deviation of 0.04, and a constant difference of 1.3 is 0.26.
const SLOW_MIN: f64 = 0.15;

/// An endpoint that differs does so until its mean deviation in the long window is below this, so that
/// it isn't taken for equal and different in turn.
const SLOW_STAY: f64 = 0.08;

/// The evidence that is required for an endpoint to differ.
#[derive(Debug, Clone, Copy)]
pub(super) struct Required {
    /// Observations, by weight.
    weight: f64,
    /// Standard errors between the mean deviation and 0.
    significance: f64,
}

impl Required {
    /// For a judgement, of which a gateway makes hundreds a second.
    pub(super) const TO_JUDGE: Required = Required { weight: 2.0, significance: 3.5 };

    /// For a report to other gateways, which add what they have observed before it counts. The more
    /// gateways there are, the further one of them is off by chance, and a report of one has all of
    /// them send a row.
    pub(super) fn to_report(gateways: u32) -> Required {
        let significance = 3.0 + 0.16 * f64::from(gateways.max(1)).ln();
        Required { weight: 0.8, significance }
    }
}

/// What is thought of an endpoint, with the evidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Judgement {
    /// The speed relative to the service's median, from [`MIN_SPEED`] to [`MAX_SPEED`]; exactly 1 if it
    /// doesn't differ.
    pub speed: f64,
    /// Times of the latest 1.5 s, as a multiple of the median.
    pub fast: f64,
    /// Times of the latest 5 s, each limited to a factor of 1.65, as a multiple of the median.
    pub slow: f64,
    /// Weight of the observations of the latest 5 s.
    pub weight: f64,
}

impl Default for Judgement {
    fn default() -> Judgement {
        Judgement { speed: 1.0, fast: 1.0, slow: 1.0, weight: 0.0 }
    }
}

impl Judgement {
    /// Judges an endpoint. `spread` is the usual deviation of a single time.
    pub(super) fn next(
        self,
        fast: Evidence,
        slow: Evidence,
        spread: f64,
        required: Required,
    ) -> Judgement {
        let deviation = self.deviation(fast, slow, spread, required);
        Judgement {
            speed: deviation.map_or(1.0, |it| (-it).exp().clamp(MIN_SPEED, MAX_SPEED)),
            fast: fast.mean().exp(),
            slow: slow.mean().exp(),
            weight: slow.weight,
        }
    }

    /// Whether the endpoint differs.
    pub(super) fn differs(&self) -> bool {
        self.speed != 1.0
    }

    /// Whether an endpoint that all gateways together find to differ does so, in the same direction,
    /// by what one of them has observed.
    pub(super) fn is_confirmed_by(&self, slow: Evidence) -> bool {
        self.differs() && (-self.speed.ln() * slow.mean()) > 0.0 && slow.mean().abs() >= SLOW_STAY
    }

    /// Returns the deviation that counts, if one does.
    fn deviation(
        self,
        fast: Evidence,
        slow: Evidence,
        spread: f64,
        required: Required,
    ) -> Option<f64> {
        let is_large = |evidence: Evidence, min: f64| {
            evidence.weight >= required.weight
                && evidence.mean().abs() >= min
                && evidence.significance(spread) >= required.significance
        };
        if is_large(fast, FAST_MIN) {
            return Some(fast.mean());
        }
        let min = if self.differs() { SLOW_STAY } else { SLOW_MIN };
        is_large(slow, min).then(|| slow.mean())
    }
}
