//! Check that source files outside tests don't call methods that panic on an error.

use crate::style::file::File;
use crate::style::finding::Finding;
use crate::style::rule::Rule;

/// Methods that panic on an error.
const CALLS: &[&str] = &[".unwrap()", ".unwrap_err()", ".expect(", ".expect_err("];

pub(crate) fn check(file: &File, findings: &mut Vec<Finding>) {
    for (number, line) in file.lines() {
        let code = strip(line);
        if CALLS.iter().any(|call| code.contains(call)) {
            findings.push(Finding::new(file, number, Rule::Unwrap));
        }
    }
}

/// Returns the line without its comment and the contents of its string literals.
fn strip(line: &str) -> String {
    let line = line.replace("'\"'", "").replace("\\\\", "").replace("\\\"", "");
    let mut code = String::new();
    let mut chars = line.chars();
    let mut in_string = false;
    while let Some(c) = chars.next() {
        if c == '"' {
            in_string = !in_string;
        } else if !in_string && c == '/' && chars.as_str().starts_with('/') {
            break;
        } else if !in_string {
            code.push(c);
        }
    }
    code
}
