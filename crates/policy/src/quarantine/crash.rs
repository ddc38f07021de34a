//! The crash of an endpoint.

use std::time::Duration;

use crate::quarantine::StartId;
use crate::quarantine::Suspect;

/// Most suspects of a crash that are kept: as many requests as endpoints usually process or queue at
/// the same time. Each request is a suspect of its own.
pub(crate) const MAX_SUSPECTS: usize = 256;

/// The crash of an endpoint, with the requests that may have caused it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The start of the endpoint that ended with it.
    pub start: StartId,
    /// When it was first known.
    pub at: Duration,
    /// Sorted.
    suspects: Vec<Suspect>,
}

impl Crash {
    /// Creates a crash without suspects.
    pub fn new(start: StartId, at: Duration) -> Crash {
        Crash { start, at, suspects: Vec::new() }
    }

    /// Adds a suspect. Returns whether it is new; further ones than the limit aren't taken.
    pub fn add(&mut self, suspect: Suspect) -> bool {
        match self.suspects.binary_search(&suspect) {
            Err(index) if self.suspects.len() < MAX_SUSPECTS => {
                self.suspects.insert(index, suspect);
                true
            }
            _ => false,
        }
    }

    /// Returns the suspects.
    pub fn suspects(&self) -> &[Suspect] {
        &self.suspects
    }
}
