//! The counts of one process over both windows.

use serde::Deserialize;
use serde::Serialize;
use wire::Stamp;
use wire::id;

use crate::Ledger;
use crate::Row;
use crate::Slot;
use crate::slot::Tally;

/// Length of the short window and of a slot.
pub const SHORT_WINDOW_MINUTES: u64 = 5;
/// Length of the long window.
pub const LONG_WINDOW_MINUTES: u64 = 60;
/// Milliseconds in a minute; an incarnation is the start time in Unix milliseconds.
const MS_PER_MINUTE: u64 = 60_000;

/// The counts of one process, which it returns when it is asked for them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sheet {
    /// The process's stamp.
    pub stamp: Stamp,
    /// Minutes since the process started, the running one included, at most the long window.
    pub minutes: u64,
    /// Counts of the short window, sorted by service and account.
    pub short: Vec<Row>,
    /// Counts of the long window, sorted by service and account.
    pub long: Vec<Row>,
    /// Counts of the long window by slot, the latest first.
    pub slots: Vec<Slot>,
}

impl Sheet {
    /// Sums up a ledger; `minute` is the current time in minutes since the Unix epoch.
    pub fn new(stamp: Stamp, ledger: &Ledger, minute: u64) -> Sheet {
        let short = ledger.window(minute, SHORT_WINDOW_MINUTES);
        let long = ledger.window(minute, LONG_WINDOW_MINUTES);
        let slots = (0..LONG_WINDOW_MINUTES)
            .step_by(SHORT_WINDOW_MINUTES as usize)
            .map(|ago| slot(ledger, minute, ago));
        let slots = slots.collect();
        Sheet { minutes: minutes_counted(stamp.incarnation, minute), stamp, short, long, slots }
    }
}

/// Returns the minutes since the start of an incarnation, the running one
/// included, at most the long window.
fn minutes_counted(incarnation: id::Incarnation, minute: u64) -> u64 {
    let start = incarnation / MS_PER_MINUTE;
    (minute.saturating_sub(start) + 1).min(LONG_WINDOW_MINUTES)
}

/// Sums up the slot that ended `ago` minutes before `minute`, over all accounts.
fn slot(ledger: &Ledger, minute: u64, ago: u64) -> Slot {
    let mut tallies: Vec<Tally> = Vec::new();
    for row in ledger
        .between(minute.saturating_sub(ago + SHORT_WINDOW_MINUTES), minute.saturating_sub(ago))
    {
        match tallies.last_mut().filter(|last| last.service == row.service) {
            Some(last) => last.count.add(row.count),
            None => tallies.push(Tally { service: row.service, count: row.count }),
        }
    }
    Slot { ago, tallies }
}
