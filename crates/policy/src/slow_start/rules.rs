//! What a cold endpoint bears, and what all gateways together send of it.

use std::time::Duration;

/// Length in seconds of the spans in which requests are counted.
const SPAN_S: f64 = 1.0;

/// Parts of the gateways add up to more than the whole, by this factor, while traffic shifts from
/// one to another faster than reports tell.
const OVERLAP: f64 = 1.1;

/// Permits of different gateways come independently of each other. So many standard deviations of
/// their number in a span are left free: of 30,000 spans one exceeds four, where clients use all
/// permits.
const DEVIATIONS: f64 = 4.0;

/// Share of the bound that is sent in any case. Without a floor a bound of few requests would
/// keep cold endpoints of a large fleet idle.
const MIN_SHARE: f64 = 0.1;

/// Doublings of the rate after the cold time until there is no limit any more. A warm endpoint
/// gets about the rate of a cold one at the peak, and none gets four times the mean.
const DOUBLINGS: f64 = 2.0;

/// Length of a doubling as a share of the cold time. With a cold time of 3 s it is four exchanges
/// of loads, so that gateways see what each doubling adds.
const DOUBLING_SHARE: f64 = 1.0 / 3.0;

/// How far the requests of all gateways may exceed the rate of a cold endpoint in any one second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Multiple of the rate.
    pub over: f64,
    /// Requests on top of that.
    pub slack: f64,
}

/// The slow start of a service's endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Requests per second that a cold endpoint takes from all gateways together.
    pub per_s: f64,
    /// How long endpoints are cold after a start.
    pub time: Duration,
    /// How far the rate may be exceeded.
    pub bounds: Bounds,
}

impl Rules {
    /// Returns the rate that so many gateways send together to a cold endpoint, in requests per
    /// second, if they keep unused permits for this time.
    ///
    /// What they send in a span is the rate, the permits that they kept and chance, which grows with
    /// the number of gateways: the permits of one are evenly spaced.
    pub fn rate(&self, gateways: u32, validity: Duration) -> f64 {
        let allowed = self.per_s * self.bounds.over * SPAN_S + self.bounds.slack;
        // The variance of the number of permits is at most a quarter for each gateway, and at most
        // their mean.
        let of_gateways = allowed - DEVIATIONS * f64::from(gateways.max(1)).sqrt() / 2.0;
        let root = ((DEVIATIONS * DEVIATIONS + 4.0 * allowed).sqrt() - DEVIATIONS) / 2.0;
        let mean = of_gateways.max(root * root).max(allowed * MIN_SHARE);
        self.per_s.min(mean / (SPAN_S * OVERLAP + validity.as_secs_f64()))
    }

    /// Returns the multiple of the rate that is sent some time after the cold time, `None` once there
    /// is no limit any more.
    pub(crate) fn growth(&self, since: Duration) -> Option<f64> {
        let doublings = since.as_secs_f64() / (self.time.as_secs_f64() * DOUBLING_SHARE);
        (doublings < DOUBLINGS).then(|| doublings.exp2())
    }

    /// Returns how long after the cold time there is a limit.
    pub(crate) fn growth_time(&self) -> Duration {
        self.time.mul_f64(DOUBLINGS * DOUBLING_SHARE)
    }
}
