//! Check of the length of Rust files.

use crate::style::file::File;
use crate::style::finding::Finding;
use crate::style::rule::Rule;

/// Most lines of a Rust file.
const MAX_LINES: usize = 400;

pub(crate) fn check(file: &File, findings: &mut Vec<Finding>) {
    let lines = file.lines().count();
    if lines > MAX_LINES {
        let rule = Rule::Length { lines, max: MAX_LINES };
        findings.push(Finding::new(file, MAX_LINES + 1, rule));
    }
}
