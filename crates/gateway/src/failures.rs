//! Failures of endpoints, as all gateways count them.

use std::sync::Arc;
use std::time::Duration;

use policy::failure_rate;
use policy::failure_rate::Sheet;
use policy::failure_rate::Tally;
use policy::failure_rate::Trials;

use crate::quarantine::start_id;
use crate::record;
use crate::tracked::Tracked;

/// Endpoints of a service are compared again after this time. It is below the interval at which
/// gateways exchange counts, and above the time between two requests at high load.
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// It was answered, or its stream began.
    Answered,
    /// It failed.
    Failed,
    /// Its stream began and broke off.
    Broken,
}

/// Whether failures are shared and used, and when endpoints were compared by them.
#[derive(Debug)]
pub(crate) struct Failures {
    /// Whether failures are shared with other gateways and used to choose endpoints.
    is_shared: bool,
    /// The services whose endpoints were compared, with the time of that, sorted by service.
    judged: Vec<(Arc<str>, Duration)>,
}

impl Failures {
    /// Creates a value that has compared no endpoints.
    pub(crate) fn new(is_shared: bool) -> Failures {
        Failures { is_shared, judged: Vec::new() }
    }

    /// Updates which endpoints of a service are failing, unless that was done a moment ago.
    pub(crate) fn judge(
        &mut self,
        endpoints: &mut [Tracked],
        service: &str,
        trials: Trials,
        now: Duration,
    ) {
        if !self.is_shared || !self.is_due(service, now) {
            return;
        }
        let takes_part = |tracked: &&mut Tracked| {
            *tracked.endpoint.service == *service && tracked.takes_requests()
        };
        let mut own: Vec<&mut Tracked> = endpoints.iter_mut().filter(takes_part).collect();
        let mut tallies: Vec<&mut Tally> = own.iter_mut().map(|it| &mut it.tally).collect();
        let changes = failure_rate::judge(&mut tallies, trials, now);
        for change in &changes {
            let tracked = &own[change.index];
            record::failing(&tracked.endpoint, change, tracked.tally.age(now));
        }
        if !changes.is_empty() {
            let failing = own.iter().filter(|tracked| tracked.tally.is_failing()).count();
            record::failing_endpoints(service, failing);
        }
    }

    /// Returns what this gateway tells others of failures.
    pub(crate) fn sheet(&self, endpoints: &[Tracked], now: Duration) -> Sheet {
        if !self.is_shared {
            return Sheet::default();
        }
        let row = |tracked: &Tracked| tracked.tally.row(start_id(&tracked.endpoint), now);
        Sheet::new(endpoints.iter().filter_map(row).collect())
    }

    /// Learns what the other gateways have counted.
    pub(crate) fn learn(&self, endpoints: &mut [Tracked], sheet: &Sheet, now: Duration) {
        if !self.is_shared {
            return;
        }
        for tracked in endpoints {
            tracked.tally.learn(sheet.row(start_id(&tracked.endpoint)), now);
        }
    }

    /// Whether the endpoints of a service are to be compared again; records that they are.
    fn is_due(&mut self, service: &str, now: Duration) -> bool {
        match self.judged.binary_search_by(|(name, _)| (**name).cmp(service)) {
            Ok(index) => {
                let judged = &mut self.judged[index].1;
                let is_due = now.saturating_sub(*judged) >= JUDGE_INTERVAL;
                if is_due {
                    *judged = now;
                }
                is_due
            }
            Err(index) => {
                self.judged.insert(index, (Arc::from(service), now));
                true
            }
        }
    }
}
