//! The counts of one process, kept per minute.

use std::collections::VecDeque;

use crate::Row;
use crate::count::Outcome;
use crate::row;

/// Minutes that are kept, enough for the long window.
const KEPT_MINUTES: u64 = 60;

/// Counts of the last hour per minute, service and account.
///
/// Its size is bounded by the services and accounts that are in use.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    minutes: VecDeque<Minute>,
}

/// The counts of one minute.
#[derive(Debug, Clone)]
struct Minute {
    /// Minutes since the Unix epoch.
    number: u64,
    /// Counts, sorted by service and account.
    rows: Vec<Row>,
}

impl Ledger {
    /// Counts one request in a minute, given in minutes since the Unix epoch.
    ///
    /// If the minute is before the latest one, as after the clock was set
    /// back, the request is counted in the latest minute.
    pub fn record(&mut self, minute: u64, service: &str, account: &str, outcome: Outcome) {
        if self.minutes.back().is_none_or(|latest| latest.number < minute) {
            self.minutes.push_back(Minute { number: minute, rows: Vec::new() });
        }
        while self.minutes.front().is_some_and(|first| first.number + KEPT_MINUTES <= minute) {
            self.minutes.pop_front();
        }
        if let Some(latest) = self.minutes.back_mut() {
            row::count_mut(&mut latest.rows, service, account).record(outcome);
        }
    }

    /// Returns the counts of the last `minutes` minutes, of which `minute` is the latest.
    ///
    /// Later minutes are included; there are some after the clock was set back.
    pub fn window(&self, minute: u64, minutes: u64) -> Vec<Row> {
        self.sum(|number| number + minutes > minute)
    }

    /// Returns the counts of the minutes after `first` up to and including `last`.
    pub fn between(&self, first: u64, last: u64) -> Vec<Row> {
        self.sum(|number| number > first && number <= last)
    }

    fn sum(&self, is_included: impl Fn(u64) -> bool) -> Vec<Row> {
        let mut sum = Vec::new();
        let included = self.minutes.iter().filter(|minute| is_included(minute.number));
        for row in included.flat_map(|minute| &minute.rows) {
            row::count_mut(&mut sum, &row.service, &row.account).add(row.count);
        }
        sum
    }
}
