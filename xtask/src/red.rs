//! Tests that are known to fail, as listed in `KNOWN-RED.txt` at the root.
//!
//! `ci` skips these tests in the main run and runs each of them on its own. It
//! prints their outcomes, which don't affect the result. Only an entry that
//! names no test, or several, is an error, since it could hide a failure; it is
//! found before the main run, which takes minutes.

use std::collections::BTreeSet;

use crate::cargo;
use crate::error::Error;

/// File name of the list, at the root of the repository.
pub const FILE: &str = "KNOWN-RED.txt";

/// Prefix of lines that are entries; all other lines are comments.
const PREFIX: &str = "red:";

/// One test that is known to fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Full name of the test, as the test harness prints it.
    pub test: String,
    /// The command and the seed that show the failure.
    pub command: String,
    /// The failure that was observed.
    pub seen: String,
    /// The issue that tracks the failure.
    pub issue: String,
}

/// Parses the text of the list and returns its entries, in their order.
///
/// # Errors
///
/// [`Error::RedLine`] with the line number of the first incomplete entry.
pub fn parse(text: &str) -> Result<Vec<Entry>, Error> {
    let lines = text.lines().enumerate();
    let entries = lines.filter_map(|(index, line)| Some((index, line.strip_prefix(PREFIX)?)));
    entries.map(|(index, rest)| parse_entry(rest).ok_or(Error::RedLine(index + 1))).collect()
}

/// Returns the `cargo test` arguments that skip exactly these tests.
pub fn skip_args(entries: &[Entry]) -> Vec<&str> {
    if entries.is_empty() {
        return Vec::new();
    }
    let tests: BTreeSet<&str> = entries.iter().map(|entry| entry.test.as_str()).collect();
    let skips = tests.into_iter().flat_map(|test| ["--skip", test]);
    ["--", "--exact"].into_iter().chain(skips).collect()
}

/// Checks that each entry names exactly one test of the workspace.
///
/// # Errors
///
/// [`Error::RedStale`] or [`Error::RedAmbiguous`] for the first entry that doesn't,
/// [`Error::Command`] if the tests can't be built, [`Error::Start`] if cargo can't be run.
pub fn check(entries: &[Entry]) -> Result<(), Error> {
    if entries.is_empty() {
        return Ok(());
    }
    let args = ["test", "--workspace", "--", "--list"];
    let output = cargo::output(&args)?;
    if !output.status.success() {
        return Err(Error::Command(format!("cargo {}", args.join(" "))));
    }
    check_names(entries, &String::from_utf8_lossy(&output.stdout))
}

/// Checks that each entry names exactly one test of a list as `--list` prints it.
///
/// # Errors
///
/// [`Error::RedStale`] or [`Error::RedAmbiguous`] for the first entry that doesn't.
pub fn check_names(entries: &[Entry], list: &str) -> Result<(), Error> {
    let tests: Vec<&str> = list.lines().filter_map(|line| line.strip_suffix(": test")).collect();
    entries.iter().try_for_each(|entry| {
        check_count(entry, tests.iter().filter(|test| **test == entry.test).count())
    })
}

/// Runs each listed test on its own and prints its outcome.
///
/// # Errors
///
/// [`Error::RedStale`] or [`Error::RedAmbiguous`] if an entry doesn't name
/// exactly one test, [`Error::Start`] if cargo can't be run.
pub fn run(entries: &[Entry]) -> Result<(), Error> {
    for entry in entries {
        let args = ["test", "--workspace", "--no-fail-fast", "--", "--exact", &entry.test];
        let output = cargo::output(&args)?;
        let text = String::from_utf8_lossy(&output.stdout);
        println!("{}", report(entry, &text, output.status.success())?);
    }
    Ok(())
}

/// Returns the line that `ci` prints for a listed test, from the output and
/// success of its run.
///
/// # Errors
///
/// [`Error::RedStale`] or [`Error::RedAmbiguous`] if the output doesn't show
/// exactly one test.
pub fn report(entry: &Entry, output: &str, success: bool) -> Result<String, Error> {
    check_count(entry, tests_run(output))?;
    let outcome = if success {
        "passed this time; remove its entry once it is mended"
    } else {
        "failed, as is known"
    };
    let Entry { test, command, seen, issue } = entry;
    Ok(format!("ci: known red: {test}: {outcome} (seen: {seen}; {command}; {issue})"))
}

fn check_count(entry: &Entry, count: usize) -> Result<(), Error> {
    match count {
        0 => Err(Error::RedStale(entry.test.clone())),
        1 => Ok(()),
        count => Err(Error::RedAmbiguous(entry.test.clone(), count)),
    }
}

fn parse_entry(text: &str) -> Option<Entry> {
    let parts: Vec<&str> = text.split('|').map(str::trim).collect();
    let [test, command, seen, issue] = parts[..] else {
        return None;
    };
    if parts.iter().any(|part| part.is_empty()) {
        return None;
    }
    Some(Entry {
        test: test.to_owned(),
        command: command.to_owned(),
        seen: seen.to_owned(),
        issue: issue.to_owned(),
    })
}

/// Returns how many tests ran, summed over the lines `running 1 test` of all
/// test harnesses.
fn tests_run(output: &str) -> usize {
    output.lines().filter_map(harness_count).sum()
}

fn harness_count(line: &str) -> Option<usize> {
    let (count, noun) = line.strip_prefix("running ")?.split_once(' ')?;
    if !matches!(noun, "test" | "tests") {
        return None;
    }
    count.parse().ok()
}
