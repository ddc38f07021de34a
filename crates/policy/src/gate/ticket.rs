//! Requests as the gate sees them.

use std::time::Duration;

use wire::Cost;
use wire::id;

/// Identifies a ticket at its gate.
pub type Id = u64;

/// An attempt of a request that is offered to a gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Identifier, never used twice at a gate.
    pub id: Id,
    /// The request, whose id spreads the retry delays.
    pub request: id::Request,
    /// The rank, 0 being the most urgent.
    pub rank: id::Rank,
    /// The client account.
    pub account: id::Account,
    /// The account's weight in fair queueing.
    pub weight: u32,
    /// The tokens requested.
    pub cost: Cost,
    /// Latest time of the first token if the ticket waits, since the process's start.
    pub due: Duration,
    /// Time after which the ticket is never started, since the process's start.
    pub deadline: Duration,
}

impl Ticket {
    /// Returns the requested tokens, prompt and output; a plain call without any counts as 1.
    pub fn tokens(&self) -> u64 {
        self.cost.tokens().max(1)
    }
}
