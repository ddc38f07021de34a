//! The latest usage that other gateways reported.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::exchange::REPORT_TTL;
use crate::rate_limit::Usage;

/// A gateway's requests at limited endpoints, with those that it answers for.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests of this gateway alone.
    pub own: Usage,
    /// Requests of gateways that report to this one.
    pub members: Usage,
}

/// The latest report of each gateway. The exchange of loads ([`crate::exchange`]) tells which
/// reports are late or too many.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// Sorted by VM.
    rows: Vec<(String, Report, Duration)>,
}

impl Ledger {
    /// Records the report of a gateway.
    pub fn record(&mut self, vm: &str, report: Report, now: Duration) {
        self.rows.retain(|(_, _, at)| now.saturating_sub(*at) < REPORT_TTL);
        match self.rows.binary_search_by(|(known, ..)| known.as_str().cmp(vm)) {
            Ok(index) => self.rows[index] = (vm.to_owned(), report, now),
            Err(index) => self.rows.insert(index, (vm.to_owned(), report, now)),
        }
    }

    /// Adds up what gateways reported of their own requests.
    pub fn own(&self, now: Duration) -> Usage {
        let mut sum = Usage::default();
        self.fresh(now).for_each(|(_, report, age)| sum.add_all(&report.own, age));
        sum
    }

    /// Adds up all reported requests but those of one gateway, which knows them better.
    pub fn all_but(&self, vm: &str, now: Duration) -> Usage {
        let mut sum = Usage::default();
        for (_, report, age) in self.fresh(now).filter(|(known, ..)| *known != vm) {
            sum.add_all(&report.own, age);
            sum.add_all(&report.members, age);
        }
        sum
    }

    /// Returns the reports that count, with their ages.
    fn fresh(&self, now: Duration) -> impl Iterator<Item = (&str, &Report, Duration)> {
        let rows = self.rows.iter();
        let rows = rows.map(move |(vm, report, at)| (vm.as_str(), report, now.saturating_sub(*at)));
        rows.filter(|(_, _, age)| *age < REPORT_TTL)
    }
}
