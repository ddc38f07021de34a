//! How much work an endpoint has, as one of its callers can know it.
//!
//! An endpoint's answers tell its load as of their time. What this process
//! itself has sent is known exactly; the rest is what other processes have
//! there. `docs/decisions/platform.md` weighs it.

use std::time::Duration;

/// What others have at an endpoint is believed for this long. In a fleet of 30
/// gateways and 60 endpoints one hears of an endpoint every 1.4 s; what fades between
/// two answers makes endpoints that answered just now look busier than the others.
const FRESH: Duration = Duration::from_secs(4);

/// Older news is halved in each such span, so that an endpoint that nobody hears of
/// any more gets work again.
const HALVING: Duration = Duration::from_secs(2);

/// What is known of one endpoint's work.
#[derive(Debug, Clone, Copy, Default)]
pub struct Occupancy {
    own: u32,
    others: u32,
    told: Option<Duration>,
}

impl Occupancy {
    /// Counts a request that is sent there.
    pub fn sent(&mut self) {
        self.own += 1;
    }

    /// Counts the end of a request there.
    pub fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes in the requests that the endpoint says it has from all callers,
    /// those that wait there included.
    pub fn told(&mut self, requests: u32, now: Duration) {
        self.others = requests.saturating_sub(self.own);
        self.told = Some(now);
    }

    /// Requests that this process has there.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Requests that all processes are believed to have there.
    pub fn requests(&self, now: Duration) -> f64 {
        let Some(told) = self.told else { return f64::from(self.own) };
        let age = now.saturating_sub(told).saturating_sub(FRESH);
        let halvings = age.as_secs_f64() / HALVING.as_secs_f64();
        f64::from(self.own) + f64::from(self.others) * 0.5f64.powf(halvings)
    }
}
