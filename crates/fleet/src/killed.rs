//! A process that was killed because it did not stop in time.

use displaydoc::Display;

/// {name} did not stop in time and was killed; the end of its log:{log}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Killed {
    /// Name of the process.
    pub name: String,
    /// Last lines of what it logged.
    pub log: String,
}
