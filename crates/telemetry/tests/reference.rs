//! Checks that the pages on metrics and alerts agree with the metric names in the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Prefix of all metric names.
const PREFIX: &str = "lycheeknot_";
/// Suffixes that the exporter adds to the name of a histogram.
const SERIES_SUFFIXES: [&str; 3] = ["_bucket", "_count", "_sum"];
/// Crates that are not part of a daemon.
const EXCLUDED_CRATES: [&str; 2] = ["standins", "fleet"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).expect("the page is readable")
}

/// Appends the texts of all files below a directory.
fn read_sources(directory: &Path, texts: &mut Vec<String>) {
    for entry in fs::read_dir(directory).expect("the directory is readable") {
        let path = entry.expect("the directory entry is readable").path();
        if path.is_dir() {
            read_sources(&path, texts);
        } else {
            texts.push(fs::read_to_string(&path).expect("the source file is readable"));
        }
    }
}

/// Returns the metric names in a text that follow directly after the character `mark`.
fn names(text: &str, mark: char) -> BTreeSet<String> {
    let start = format!("{mark}{PREFIX}");
    let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
    let name = |rest: &str| {
        let end = rest.find(|c| !is_name(c)).unwrap_or(rest.len());
        format!("{PREFIX}{}", &rest[..end])
    };
    text.split(&start).skip(1).map(name).collect()
}

/// Returns the metric names in the source code of the daemons.
fn in_code() -> BTreeSet<String> {
    let mut texts = Vec::new();
    for entry in fs::read_dir(root().join("crates")).expect("the directory is readable") {
        let path = entry.expect("the directory entry is readable").path();
        let is_excluded = EXCLUDED_CRATES.iter().any(|name| path.ends_with(name));
        if !is_excluded {
            read_sources(&path.join("src"), &mut texts);
        }
    }
    texts.iter().flat_map(|text| names(text, '"')).collect()
}

/// Returns the metric names that have a table row in METRICS.md.
fn documented() -> BTreeSet<String> {
    let page = read_page("METRICS.md");
    page.lines()
        .filter(|line| line.starts_with("| `"))
        .flat_map(|line| names(line, '`').into_iter().next())
        .collect()
}

#[test]
fn exactly_the_metrics_in_the_code_are_documented() {
    assert_eq!(documented(), in_code());
}

#[test]
fn alerts_use_only_documented_metrics() {
    let documented = documented();
    let text = read_page("ALERTS.md");
    let named = ['`', '(', ' ', '{'].into_iter().flat_map(|mark| names(&text, mark));
    let without_suffix = |name: String| {
        let stem = SERIES_SUFFIXES.iter().find_map(|suffix| name.strip_suffix(suffix));
        stem.map(str::to_owned).unwrap_or(name)
    };
    let named: BTreeSet<String> = named.map(without_suffix).collect();
    assert!(named.len() > 5, "ALERTS.md has too few metrics: {named:?}");
    let unknown: Vec<&String> = named.difference(&documented).collect();
    assert!(unknown.is_empty(), "ALERTS.md has undocumented metrics: {unknown:?}");
}
