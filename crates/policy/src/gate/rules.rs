//! Limits of a gate, from the confirmed configuration.

use std::time::Duration;

use wire::id;

/// Limits of one gate.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// Requests that the engine runs at once.
    pub slots: u32,
    /// Load that the engine may accept, as a multiple of the fleet's mean load per slot.
    pub bound: f32,
    /// Ranks, the most urgent first.
    pub ranks: Vec<Rule>,
    /// Requests that may wait at most, whatever the mean load is.
    pub queue: u32,
    /// Tokens that all waiting requests together may request.
    pub queue_tokens: u64,
    /// Assumed throughput until requests complete, in tokens per second and slot.
    pub start_rate: u32,
}

/// Limits of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rule {
    /// Percent of the started work that is guaranteed to the rank under overload.
    pub minimum: u8,
    /// Target for the time from offer to first token.
    pub first_token: Duration,
}

impl Rules {
    /// Returns the percentage guaranteed to a rank; 0 for an unknown rank.
    pub(super) fn minimum(&self, rank: id::Rank) -> u8 {
        self.ranks.get(usize::from(rank)).map_or(0, |rule| rule.minimum)
    }

    /// Returns the target for a rank's first token; unlimited for an unknown rank.
    pub(super) fn first_token(&self, rank: id::Rank) -> Duration {
        self.ranks.get(usize::from(rank)).map_or(Duration::MAX, |rule| rule.first_token)
    }
}
