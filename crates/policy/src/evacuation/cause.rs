//! Causes of changes.

/// Why an evacuation begins or ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its key was written.
    Written,
    /// Its key was found when all keys were read.
    Listed,
    /// Its key was removed.
    Removed,
    /// Its key was missing when all keys were read.
    Missing,
    /// Its key was not written again in the grace time.
    NotWrittenAgain,
    /// Its key was cancelled before a restore, and was not removed again in the grace time.
    NotRemovedAgain,
}

impl Cause {
    /// Returns its label in logs.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Written => "written",
            Cause::Listed => "listed",
            Cause::Removed => "removed",
            Cause::Missing => "missing",
            Cause::NotWrittenAgain => "not written again",
            Cause::NotRemovedAgain => "not removed again",
        }
    }
}
