//! The latest reports of other gateways.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::exchange::Sheet;

/// A report counts for this time: four intervals between reports, so that one that is lost
/// or late takes nothing away, and a gateway that was killed is forgotten early.
pub(crate) const REPORT_TTL: Duration = Duration::from_millis(1_000);

/// Reports of a gateway that has just started: several, so that one answer may be lost.
const NEW_REPORTS: u64 = 8;

/// Most reporters that are kept. Beyond it further ones are rejected.
const MAX_REPORTERS: usize = 512;

/// A gateway's requests in flight, with those that it answers for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The VM of the gateway.
    pub vm: String,
    /// Start of the gateway's process in Unix milliseconds. A later start replaces an earlier one.
    pub incarnation: u64,
    /// Number of the report within the process; a lower one that arrives later is ignored.
    pub sequence: u64,
    /// Requests of this gateway alone.
    pub own: Sheet,
    /// Requests of gateways that report to this one.
    pub members: Sheet,
    /// Number of gateways whose requests the report holds.
    pub gateways: u32,
}

impl Report {
    /// Whether the gateway has just started, so that it doesn't know yet what others were told
    /// before.
    pub fn is_new(&self) -> bool {
        self.sequence <= NEW_REPORTS
    }
}

/// Reason why a report was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// A newer report of the same gateway is known.
    Stale,
    /// The rows of a sheet are not in order.
    Malformed,
    /// Too many gateways report.
    Full,
}

/// The latest report of each gateway, kept for a second.
///
/// Reports replace each other, so one that is lost or comes twice changes no sum for long.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// Sorted by VM.
    rows: Vec<(Report, Duration)>,
}

impl Ledger {
    /// Records a report that arrived at the time `now`.
    ///
    /// # Errors
    ///
    /// The [`Rejection`] if it is not taken; what was known stays.
    pub fn record(&mut self, report: Report, now: Duration) -> Result<(), Rejection> {
        if !report.own.is_valid() || !report.members.is_valid() {
            return Err(Rejection::Malformed);
        }
        self.rows.retain(|(_, at)| now.saturating_sub(*at) < REPORT_TTL);
        match self.find(&report.vm) {
            Ok(index) => {
                let known = &self.rows[index].0;
                let is_newer =
                    (report.incarnation, report.sequence) > (known.incarnation, known.sequence);
                if !is_newer {
                    return Err(Rejection::Stale);
                }
                self.rows[index] = (report, now);
            }
            Err(_) if self.rows.len() >= MAX_REPORTERS => return Err(Rejection::Full),
            Err(index) => self.rows.insert(index, (report, now)),
        }
        Ok(())
    }

    /// Adds up what gateways reported of their own requests. Requests of further gateways are
    /// left out, so that a sum that is passed on never contains a gateway twice.
    pub fn own(&self, now: Duration) -> Sheet {
        let mut sum = Sheet::default();
        self.fresh(now).for_each(|report| sum.add_all(&report.own));
        sum
    }

    /// Adds up all reported requests but those of one gateway, which knows them better.
    pub fn all_but(&self, vm: &str, now: Duration) -> Sheet {
        let mut sum = Sheet::default();
        for report in self.fresh(now).filter(|report| report.vm != vm) {
            sum.add_all(&report.own);
            sum.add_all(&report.members);
        }
        sum
    }

    /// Whether a gateway has just started, or its reports don't count.
    pub fn is_new(&self, vm: &str, now: Duration) -> bool {
        let mut reports = self.fresh(now);
        reports.find(|report| report.vm == vm).is_none_or(Report::is_new)
    }

    /// Returns the number of gateways whose reports count.
    pub fn reporters(&self, now: Duration) -> u32 {
        u32::try_from(self.fresh(now).count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of gateways whose requests are known, without what one of them
    /// reported.
    pub fn gateways_but(&self, vm: &str, now: Duration) -> u32 {
        let others = self.fresh(now).filter(|report| report.vm != vm);
        others.fold(0, |sum, report| sum.saturating_add(report.gateways))
    }

    fn fresh(&self, now: Duration) -> impl Iterator<Item = &Report> {
        let is_fresh = move |at: Duration| now.saturating_sub(at) < REPORT_TTL;
        self.rows.iter().filter(move |(_, at)| is_fresh(*at)).map(|(report, _)| report)
    }

    fn find(&self, vm: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|(known, _)| known.vm.as_str().cmp(vm))
    }
}
