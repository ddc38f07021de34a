//! A line of the report: the burn of one rank, service or account.

use std::fmt;

use serde::Serialize;

use crate::Window;

/// The trend is steady if the burns of both windows differ by at most this factor.
const STEADY_FACTOR: f64 = 1.25;

/// The burn of one rank, service or account over both windows.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// The kind of thing that the line is about.
    pub scope: Scope,
    /// The name of the rank, service or account.
    pub name: String,
    /// The fraction of requests that must be answered completely and in time; over
    /// ranks with different objectives it is their mean, weighted by requests.
    pub objective: Option<f64>,
    /// The short window, the last minutes.
    pub short: Window,
    /// The long window, the last hour.
    pub long: Window,
    /// The change of the burn from the long window to the short one.
    pub trend: Trend,
}

/// The kind of thing that a line is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// A rank.
    Rank,
    /// A service.
    Service,
    /// A client account.
    Account,
}

/// The change of the burn from the long window to the short one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Trend {
    /// The burn is higher in the short window than in the long one.
    Rising,
    /// The burn is lower in the short window than in the long one.
    Falling,
    /// The burn is about the same in both windows.
    Steady,
    /// One of the windows has no burn, for lack of requests or of a budget.
    Unknown,
}

impl Trend {
    /// Compares the burns of the short and the long window.
    pub fn of(short: &Window, long: &Window) -> Trend {
        let (Some(short), Some(long)) = (short.burn, long.burn) else { return Trend::Unknown };
        if short > long * STEADY_FACTOR {
            return Trend::Rising;
        }
        if short * STEADY_FACTOR < long {
            return Trend::Falling;
        }
        Trend::Steady
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let scope = format!("{:?}", self.scope).to_lowercase();
        let trend = format!("{:?}", self.trend).to_lowercase();
        let objective = percent(self.objective);
        write!(f, "{scope:<8} {:<20} {objective:>9}", self.name)?;
        fmt_window(f, &self.short)?;
        fmt_window(f, &self.long)?;
        write!(f, "  {trend}")
    }
}

fn fmt_window(f: &mut fmt::Formatter<'_>, window: &Window) -> fmt::Result {
    let achieved = percent(window.achieved);
    let burn = window.burn.map_or("-".to_owned(), |burn| format!("{burn:.1}"));
    write!(f, " {:>9} {achieved:>9} {burn:>6}", window.count.total())
}

fn percent(fraction: Option<f64>) -> String {
    fraction.map_or("-".to_owned(), |fraction| format!("{:.1}%", fraction * 100.0))
}
