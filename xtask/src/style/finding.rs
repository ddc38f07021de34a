//! A violation of a style rule.

use displaydoc::Display;

use crate::style::file::File;
use crate::style::rule::Rule;

/// {path}:{line}: {rule}
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub struct Finding {
    /// Path of the file from the root.
    pub path: String,
    /// Line number; the first line is 1.
    pub line: usize,
    /// Rule that is violated.
    pub rule: Rule,
}

impl Finding {
    /// Creates a finding at a line of a file.
    pub(crate) fn new(file: &File, line: usize, rule: Rule) -> Finding {
        Finding { path: file.path.clone(), line, rule }
    }
}
