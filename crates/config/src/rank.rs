//! Ranks of work.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A rank of work, that is, a priority class; the document lists the most urgent
/// first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    /// The rank's name.
    pub name: String,
    /// Time within which the first token, or the answer of a plain engine, is due.
    pub first_token: Duration,
    /// Longest time that may pass between tokens.
    pub token_gap: Duration,
    /// Longest time that a request is queued before it is refused.
    pub patience: Duration,
    /// Value of an answer in time, relative to other ranks.
    pub worth: u32,
    /// Percent of each engine that is reserved for the rank under overload.
    pub minimum: u8,
    /// Percent of requests that must be answered completely and in time.
    #[serde(default = "objective")]
    pub objective: u8,
}

/// Returns the objective of ranks that set none, in percent.
pub(crate) fn objective() -> u8 {
    95
}
