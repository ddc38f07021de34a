//! The counts of one start of an endpoint.

use std::time::Duration;

use crate::failure_rate::Counts;
use crate::failure_rate::OTHERS_TTL;
use crate::failure_rate::Row;
use crate::failure_rate::Window;
use crate::quarantine::StartId;

/// The requests that ended lately at one start of an endpoint, and whether it is taken for failing.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    own: Window,
    others: Counts,
    /// When the counts of the other gateways came.
    learned: Duration,
    pub(super) is_failing: bool,
    /// While it is failing: when this gateway sends it the next request.
    pub(super) next_trial: Duration,
}

impl Tally {
    /// Counts a request that was answered.
    pub fn record_answer(&mut self, now: Duration) {
        self.own.add(Counts { requests: 1, failures: 0 }, now);
    }

    /// Counts a request that failed.
    pub fn record_failure(&mut self, now: Duration) {
        self.own.add(Counts { requests: 1, failures: 1 }, now);
    }

    /// Counts the failure of a request that was counted as answered, as a stream is when it begins.
    pub fn record_break(&mut self, now: Duration) {
        self.own.add(Counts { requests: 0, failures: 1 }, now);
    }

    /// Learns the counts of all other gateways together; `None` if they have no row for it.
    pub fn learn(&mut self, row: Option<&Row>, now: Duration) {
        self.others = row.map(Row::counts).unwrap_or_default();
        self.learned = now;
    }

    /// Returns what this gateway tells others of it; `None` if it has not failed lately.
    ///
    /// An endpoint that only failed requests of other gateways has a row too, since their share of
    /// failures alone would be too high.
    pub fn row(&self, endpoint: StartId, now: Duration) -> Option<Row> {
        let Counts { requests, failures } = self.own(now);
        let has_failed = failures > 0 || self.others(now).failures > 0;
        (has_failed && requests > 0).then_some(Row { endpoint, requests, failures })
    }

    /// Whether it is taken for failing.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Whether this gateway may send it a request although it is failing, so that its recovery is
    /// noticed.
    pub fn is_trial_due(&self, now: Duration) -> bool {
        self.is_failing && now >= self.next_trial
    }

    /// Records that a request is sent to it although it is failing. The next one is sent after this
    /// time.
    pub fn record_trial(&mut self, interval: Duration, now: Duration) {
        self.next_trial = now.saturating_add(interval);
    }

    /// Returns the counts of this gateway.
    pub fn own(&self, now: Duration) -> Counts {
        self.own.counts(now)
    }

    /// Returns the counts of the other gateways, as long as they are not outdated.
    pub fn others(&self, now: Duration) -> Counts {
        if self.age(now) < OTHERS_TTL { self.others } else { Counts::default() }
    }

    /// Returns the time since the counts of the other gateways came.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.learned)
    }
}
