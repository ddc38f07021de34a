//! Requests that broke off, before it is known whether their endpoint has crashed.

use std::time::Duration;

use crate::quarantine::StartId;
use crate::quarantine::Suspect;

/// How long a request that broke off is kept until the crash of its endpoint is confirmed.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between checks of one endpoint. A faulty endpoint may break off many responses.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Most requests that are kept.
const MAX_REQUESTS: usize = 1_024;

/// Requests that broke off lately.
#[derive(Debug, Clone, Default)]
pub(crate) struct Broken {
    /// In the order of their time.
    requests: Vec<(StartId, Duration, Suspect)>,
    /// Time of the last check of each endpoint.
    checks: Vec<(StartId, Duration)>,
}

impl Broken {
    /// Adds a request. Returns whether its endpoint should be checked.
    pub(crate) fn add(&mut self, start: StartId, suspect: Suspect, now: Duration) -> bool {
        self.requests.retain(|(_, at, _)| now.saturating_sub(*at) < CONFIRM_TIMEOUT);
        self.checks.retain(|(_, at)| now.saturating_sub(*at) < CHECK_INTERVAL);
        if self.requests.len() < MAX_REQUESTS {
            self.requests.push((start, now, suspect));
        }
        let is_due = self.checks.iter().all(|(checked, _)| *checked != start);
        if is_due {
            self.checks.push((start, now));
        }
        is_due
    }

    /// Removes and returns the requests that broke off at an endpoint, with the time of the
    /// first of them.
    pub(crate) fn take(
        &mut self,
        start: StartId,
        now: Duration,
    ) -> Option<(Duration, Vec<Suspect>)> {
        self.requests.retain(|(_, at, _)| now.saturating_sub(*at) < CONFIRM_TIMEOUT);
        let is_there = |row: &(StartId, Duration, Suspect)| row.0 == start;
        let first = self.requests.iter().find(|row| is_there(row))?.1;
        let taken = self.requests.extract_if(.., |row| is_there(row));
        Some((first, taken.map(|(_, _, suspect)| suspect).collect()))
    }
}
