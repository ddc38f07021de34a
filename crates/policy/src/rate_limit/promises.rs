//! Times at which refused clients were told to come back.

use std::time::Duration;

use crate::rate_limit::SPAN;

/// Longest time for which clients queue up. Some of them come back earlier, elsewhere or not at all,
/// so a longer queue would tell times that are far too late.
const MAX_AHEAD: Duration = SPAN;

/// Clients of a service that were refused for a limit and told when to come back.
///
/// Each of them takes a permit of its own, so each further one is told a later time.
#[derive(Debug, Clone, Default)]
pub struct Promises {
    /// Sorted.
    times: Vec<Duration>,
}

impl Promises {
    /// Returns when the next client should come back, and counts it. Permits come at a rate in
    /// permits per second, the first of them after `first`.
    pub fn next(&mut self, first: Duration, rate: f64, now: Duration) -> Duration {
        let passed = self.times.partition_point(|time| *time <= now);
        self.times.drain(..passed);
        let ahead = self.times.len() as f64 / rate;
        let ahead = Duration::try_from_secs_f64(ahead).unwrap_or_default();
        let delay = first.saturating_add(ahead.min(MAX_AHEAD));
        if ahead < MAX_AHEAD {
            let time = now.saturating_add(delay);
            let index = self.times.partition_point(|known| *known <= time);
            self.times.insert(index, time);
        }
        delay
    }
}
