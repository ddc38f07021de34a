//! Estimated number of requests at an endpoint, as one of its callers knows it.
//!
//! An endpoint reports its load with each answer. The requests of this process are
//! known exactly; the rest of the reported load belongs to other processes. Where processes
//! tell each other their requests ([`crate::exchange`]), the later of both counts.
//! `docs/decisions/platform.md` discusses the estimate.

use std::time::Duration;

/// Time for which a load report is taken at full weight.
///
/// In a fleet of 30 gateways and 60 endpoints a gateway gets a report from an endpoint
/// every 1.4 s. A report that decays between two answers makes endpoints that have just
/// answered look busier than the others.
const REPORT_FRESH_FOR: Duration = Duration::from_secs(4);

/// Half-life of a load report older than [`REPORT_FRESH_FOR`], so that an endpoint
/// without new reports gets work again.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Own requests at one endpoint and the last report on those of other processes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Occupancy {
    own: u32,
    others: u32,
    /// Time of the last load report.
    reported: Option<Duration>,
}

impl Occupancy {
    /// Counts a request that this process sends to the endpoint.
    pub fn record_sent(&mut self) {
        self.own += 1;
    }

    /// Counts the end of a request that this process sent.
    pub fn record_ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Records a load report of the endpoint: its requests from all callers, running
    /// and waiting. `now` is the time since the process's start.
    pub fn record_report(&mut self, requests: u32, now: Duration) {
        self.others = requests.saturating_sub(self.own);
        self.reported = Some(now);
    }

    /// Records the requests that the other processes together have at the endpoint, as they
    /// told each other. `now` is the time since the process's start.
    pub fn record_others(&mut self, others: u32, now: Duration) {
        self.others = others;
        self.reported = Some(now);
    }

    /// Returns the requests that this process has at the endpoint.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Returns the estimated requests of all processes at the endpoint.
    ///
    /// `now` is the time since the process's start.
    pub fn requests(&self, now: Duration) -> f64 {
        let Some(reported) = self.reported else { return f64::from(self.own) };
        let age = now.saturating_sub(reported).saturating_sub(REPORT_FRESH_FOR);
        let halvings = age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        f64::from(self.own) + f64::from(self.others) * 0.5f64.powf(halvings)
    }
}
