//! The report on service-level burn, computed from the counts of a fleet.

use std::fmt;

use config::Document;
use serde::Serialize;
use wire::id;

use crate::Line;
use crate::Row;
use crate::Series;
use crate::Sum;
use crate::Window;
use crate::line::Scope;
use crate::line::Trend;
use crate::series;
use crate::sheet::LONG_WINDOW_MINUTES;
use crate::sum::Process;

/// Objective of requests whose service is no longer declared.
const DEFAULT_OBJECTIVE_PERCENT: u8 = 95;
/// Rank that such requests are shown under.
const UNKNOWN_RANK: &str = "unknown";

/// What a fleet achieved against its objectives, and which processes the figures come from.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// One line per rank, service and account; services and accounts without
    /// requests have none.
    pub lines: Vec<Line>,
    /// The course of the burn of each rank over the last hour.
    pub series: Vec<Series>,
    /// Processes that answered.
    pub counted: Vec<id::Vm>,
    /// Processes that started within the last hour; their counts from before are lost.
    pub restarted: Vec<Restart>,
    /// Processes that did not answer; their counts are in no line.
    pub missing: Vec<id::Vm>,
}

/// A process that has been counting for less than the long window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Restart {
    /// The process's VM.
    pub vm: id::Vm,
    /// Minutes since its start, the running one included.
    pub minutes: u64,
}

/// Computes the report of a fleet's counts against the objectives of a document.
pub fn report(document: &Document, sum: &Sum) -> Report {
    let mut lines = Vec::new();
    let mut series: Vec<Series> = Vec::new();
    for rank in &document.ranks {
        let objective = f64::from(rank.objective) / 100.0;
        line_mut(&mut lines, Scope::Rank, &rank.name).objective = Some(objective);
    }
    for row in &sum.short {
        add_row(document, &mut lines, row, |line| &mut line.short);
    }
    for row in &sum.long {
        add_row(document, &mut lines, row, |line| &mut line.long);
    }
    for slot in &sum.slots {
        for tally in &slot.tallies {
            let (rank, objective) = rank_and_objective(document, &tally.service);
            series::window_mut(&mut series, rank, slot.ago).add(tally.count, objective);
        }
    }
    for line in &mut lines {
        line.objective = line.long.objective().or(line.objective);
        line.trend = Trend::of(&line.short, &line.long);
    }
    lines.sort_by_key(|line| (line.scope, position(document, line)));
    series.sort_by_key(|one| rank_position(document, &one.rank));
    let counted = sum.processes.iter().map(|process| process.vm.clone()).collect();
    let restarted = restarted(&sum.processes);
    Report { lines, series, counted, restarted, missing: sum.missing.clone() }
}

fn restarted(processes: &[Process]) -> Vec<Restart> {
    let recent = processes.iter().filter(|process| process.minutes < LONG_WINDOW_MINUTES);
    recent.map(|process| Restart { vm: process.vm.clone(), minutes: process.minutes }).collect()
}

/// Returns the name of a service's rank and its objective in percent.
fn rank_and_objective<'a>(document: &'a Document, service: &str) -> (&'a str, u8) {
    let rank = document.service(service).and_then(|service| document.rank(service.rank));
    rank.map_or((UNKNOWN_RANK, DEFAULT_OBJECTIVE_PERCENT), |rank| {
        (rank.name.as_str(), rank.objective)
    })
}

/// Returns the sort key of a line among those of its scope.
///
/// Ranks are in the document's order, the most urgent first. Other lines have
/// the same key, so that the stable sort leaves them sorted by name.
fn position(document: &Document, line: &Line) -> usize {
    if line.scope == Scope::Rank { rank_position(document, &line.name) } else { 0 }
}

/// Returns a rank's position in the document; ranks that are not declared come last.
fn rank_position(document: &Document, rank: &str) -> usize {
    document.ranks.iter().position(|known| known.name == rank).unwrap_or(usize::MAX)
}

/// Adds a row to the lines of its rank, service and account, to the window that `window` selects.
fn add_row(
    document: &Document,
    lines: &mut Vec<Line>,
    row: &Row,
    window: impl Fn(&mut Line) -> &mut Window,
) {
    let (rank, objective) = rank_and_objective(document, &row.service);
    let scopes =
        [(Scope::Rank, rank), (Scope::Service, &row.service), (Scope::Account, &row.account)];
    for (scope, name) in scopes {
        window(line_mut(lines, scope, name)).add(row.count, objective);
    }
}

/// Returns the line of a rank, service or account; it is inserted if it is new.
fn line_mut<'a>(lines: &'a mut Vec<Line>, scope: Scope, name: &str) -> &'a mut Line {
    let found = lines.binary_search_by(|line| (line.scope, line.name.as_str()).cmp(&(scope, name)));
    let index = found.unwrap_or_else(|index| {
        let line = Line {
            scope,
            name: name.to_owned(),
            objective: None,
            short: Window::default(),
            long: Window::default(),
            trend: Trend::Unknown,
        };
        lines.insert(index, line);
        index
    });
    &mut lines[index]
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counted = self.counted.join(", ");
        writeln!(
            f,
            "{}",
            format!("counted at {} processes: {counted}", self.counted.len()).trim_end()
        )?;
        for Restart { vm, minutes } in &self.restarted {
            writeln!(
                f,
                "restarted: {vm} has counted for {minutes} min, what it had before is lost"
            )?;
        }
        if !self.missing.is_empty() {
            let missing = self.missing.join(", ");
            writeln!(f, "missing: {missing} did not answer, the figures below are without theirs")?;
        }
        if self.counted.is_empty() {
            return writeln!(f, "nothing is known: no process answered");
        }
        writeln!(
            f,
            "{:<8} {:<20} {:>9} {:>9} {:>9} {:>6} {:>9} {:>9} {:>6}  TREND",
            "SCOPE", "NAME", "OBJECTIVE", "5 MIN", "ACHIEVED", "BURN", "60 MIN", "ACHIEVED", "BURN"
        )?;
        self.lines.iter().try_for_each(|line| writeln!(f, "{line}"))
    }
}
