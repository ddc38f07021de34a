//! Check that each import names one item and that there are at most three groups.

use crate::style::file::File;
use crate::style::finding::Finding;
use crate::style::rule::Rule;

/// Most import groups of a file: std, external, own.
const MAX_GROUPS: usize = 3;

pub(crate) fn check(file: &File, findings: &mut Vec<Finding>) {
    for (number, line) in file.lines() {
        if is_import(line.trim_start()) && line.contains('{') {
            findings.push(Finding::new(file, number, Rule::Braces));
        }
    }
    let starts = group_starts(file);
    if let Some(start) = starts.get(MAX_GROUPS) {
        findings.push(Finding::new(file, *start, Rule::Groups(starts.len())));
    }
}

/// Returns the first line numbers of the import groups at the top level.
/// Re-exports are part of the interface and don't count.
fn group_starts(file: &File) -> Vec<usize> {
    let mut starts = Vec::new();
    let mut in_group = false;
    for (number, line) in file.lines() {
        if line.is_empty() {
            in_group = false;
        } else if line.starts_with("use ") && !in_group {
            in_group = true;
            starts.push(number);
        }
    }
    starts
}

fn is_import(line: &str) -> bool {
    let Some(rest) = line.strip_prefix("pub") else {
        return line.starts_with("use ");
    };
    let rest = match rest.strip_prefix('(') {
        Some(restricted) => restricted.split_once(')').map_or("", |(_, rest)| rest),
        None => rest,
    };
    rest.starts_with(" use ")
}
