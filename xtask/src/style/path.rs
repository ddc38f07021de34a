//! Check that no file contains a path of one machine.

use crate::style::file::File;
use crate::style::finding::Finding;
use crate::style::rule::Rule;

/// Top-level directories that usually contain a person's files.
const ROOTS: &[&str] = &["home", "root", "work", "Users"];

pub(crate) fn check(file: &File, findings: &mut Vec<Finding>) {
    for (number, line) in file.lines() {
        if ROOTS.iter().any(|root| contains_path(line, &format!("/{root}/"))) {
            findings.push(Finding::new(file, number, Rule::Path));
        }
    }
}

/// Returns whether the line contains this path as the start of a path, not as a
/// part of a longer one.
fn contains_path(line: &str, path: &str) -> bool {
    line.match_indices(path).any(|(index, _)| {
        let before = line[..index].chars().next_back();
        !before.is_some_and(|c| c.is_alphanumeric() || "._-})".contains(c))
    })
}
