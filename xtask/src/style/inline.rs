//! Check that source files contain no tests.

use crate::style::file::File;
use crate::style::finding::Finding;
use crate::style::rule::Rule;

/// Attribute of items that are compiled for tests only.
const TEST_BUILD: &str = "#[cfg(test)]";

pub(crate) fn check(file: &File, findings: &mut Vec<Finding>) {
    let mut is_test_build = false;
    for (number, line) in file.lines() {
        let line = line.trim();
        let opens_module = line.contains("mod ") && line.ends_with('{');
        if is_test_attribute(line) || (is_test_build && opens_module) {
            findings.push(Finding::new(file, number, Rule::Inline));
        }
        is_test_build = line == TEST_BUILD || (is_test_build && line.starts_with("#["));
    }
}

/// Returns whether the line is `#[test]`, or `#[name::test]` of an async runtime.
fn is_test_attribute(line: &str) -> bool {
    let Some(attribute) = line.strip_prefix("#[") else {
        return false;
    };
    let path = attribute.split(['(', ']']).next().unwrap_or_default();
    path == "test" || path.ends_with("::test")
}
