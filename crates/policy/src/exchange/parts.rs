//! What gateways report beside their loads, with what they answer for.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::exchange::REPORT_TTL;

/// A value that can be added up over gateways.
pub trait Additive: Default {
    /// Adds what another gateway reported some time ago.
    fn add_all(&mut self, other: &Self, age: Duration);
}

/// What a gateway reports of itself, and of the gateways that report to it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Parts<T> {
    /// What concerns this gateway alone.
    pub own: T,
    /// What concerns gateways that report to this one.
    pub members: T,
}

/// The latest report of each gateway. The exchange of loads ([`crate::exchange`]) tells which
/// reports are late or too many.
#[derive(Debug, Clone, Default)]
pub struct PartsLedger<T> {
    /// Sorted by VM.
    rows: Vec<(String, Parts<T>, Duration)>,
}

impl<T: Additive> PartsLedger<T> {
    /// Records the report of a gateway.
    pub fn record(&mut self, vm: &str, report: Parts<T>, now: Duration) {
        self.rows.retain(|(_, _, at)| now.saturating_sub(*at) < REPORT_TTL);
        match self.rows.binary_search_by(|(known, ..)| known.as_str().cmp(vm)) {
            Ok(index) => self.rows[index] = (vm.to_owned(), report, now),
            Err(index) => self.rows.insert(index, (vm.to_owned(), report, now)),
        }
    }

    /// Adds up what gateways reported of themselves.
    pub fn own(&self, now: Duration) -> T {
        let mut sum = T::default();
        self.fresh(now).for_each(|(_, report, age)| sum.add_all(&report.own, age));
        sum
    }

    /// Adds up all reports but that of one gateway, which knows its own better.
    pub fn all_but(&self, vm: &str, now: Duration) -> T {
        let mut sum = T::default();
        for (_, report, age) in self.fresh(now).filter(|(known, ..)| *known != vm) {
            sum.add_all(&report.own, age);
            sum.add_all(&report.members, age);
        }
        sum
    }

    /// Returns the reports that count, with their ages.
    fn fresh(&self, now: Duration) -> impl Iterator<Item = (&str, &Parts<T>, Duration)> {
        let rows = self.rows.iter();
        let rows = rows.map(move |(vm, report, at)| (vm.as_str(), report, now.saturating_sub(*at)));
        rows.filter(|(_, _, age)| *age < REPORT_TTL)
    }
}
