//! Checks that the pages on errors and metrics list what the code can produce.
#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it in test functions; helpers serve them"
)]

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use entry::problems;
use wire::Refusal;
use wire::refusal::Ran;
use wire::refusal::Reason;

const REASONS: [Reason; 14] = [
    Reason::Bound,
    Reason::Queue,
    Reason::Deadline,
    Reason::Share,
    Reason::Leaving,
    Reason::Missing,
    Reason::Starting,
    Reason::Engine,
    Reason::Store,
    Reason::Conflict,
    Reason::Started,
    Reason::Foreign,
    Reason::Moved,
    Reason::Retries,
];

fn read(path: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path)).unwrap()
}

/// Returns the kinds and statuses in the page's tables.
fn listed_problems() -> BTreeSet<(String, String)> {
    let page = read("../../docs/ERRORS.md");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let row = |row: &str| {
        let (kind, rest) = row.split_once("` | ").unwrap();
        (kind.to_owned(), rest.split_once(' ').unwrap().0.to_owned())
    };
    rows.map(row).collect()
}

/// Returns the kinds and statuses in the code, read from the arguments of `Problem::new`.
fn problems_in_code() -> BTreeSet<(String, String)> {
    let code = read("src/problems.rs");
    let calls = code.split("Problem::new(\n").skip(1);
    let call = |call: &str| {
        let arguments: Vec<&str> = call.lines().map(str::trim).take(3).collect();
        let kind = arguments[0].trim_matches(['"', ',']).to_owned();
        (kind, arguments[2].trim_end_matches(',').to_owned())
    };
    calls.map(call).collect()
}

#[test]
fn every_problem_is_listed_with_its_status() {
    let reason = |reason: Reason| {
        let refusal = Refusal {
            reason,
            ran: Ran::No,
            retry_after: problems::DEFAULT_RETRY_AFTER,
            hint: None,
        };
        let problem = problems::refused(&refusal, "");
        let kind = problem.kind.rsplit(':').next().unwrap().to_owned();
        (kind, problem.status.to_string())
    };
    let mut known: BTreeSet<_> = REASONS.into_iter().map(reason).collect();
    known.extend(problems_in_code());
    assert_eq!(known, listed_problems());
}

#[test]
fn every_metric_is_listed() {
    let names = |text: &str| -> BTreeSet<String> {
        let words = text.split(|letter: char| letter != '_' && !letter.is_ascii_alphanumeric());
        words.filter(|word| word.starts_with("lycheeknot_entry_")).map(str::to_owned).collect()
    };
    let code: String = ["src/meter.rs", "src/counts.rs"].into_iter().map(read).collect();
    assert_eq!(names(&code), names(&read("../../docs/METRICS.md")));
}
