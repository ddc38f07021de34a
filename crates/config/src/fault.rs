//! Faults of an intent.

use std::fmt;

/// One fault of an intent, with its position and its remedy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The line, counted from 1; 0 if the fault has no line of its own.
    pub line: usize,
    /// The key, as it is written in TOML.
    pub key: String,
    /// Description of the fault.
    pub message: String,
    /// What the operator should do about it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        write!(f, "{}: {}: {}", self.key, self.message, self.remedy)
    }
}
