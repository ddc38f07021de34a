//! Throughput of the engine's slots, learnt from requests that completed.

use std::time::Duration;

use crate::gate::Ticket;

/// Factor applied to the weight of older requests at each completed one.
const DECAY: f64 = 0.95;

/// Throughput of a slot by rank, in requested tokens per second.
///
/// Requested tokens include cached ones and output that is never generated, so the
/// rate includes what caches and short answers save. Ranks are measured separately
/// because one may request far more than it uses and another exactly what it uses.
#[derive(Debug, Clone)]
pub(super) struct Rates {
    start: Rate,
    ranks: Vec<Rate>,
}

/// Decayed sums of requested tokens and of the slot time that they took.
#[derive(Debug, Clone)]
struct Rate {
    tokens: f64,
    seconds: f64,
}

impl Rates {
    /// Returns rates of `start` tokens per second and slot, used until requests complete.
    pub(super) fn new(start: u32) -> Rates {
        Rates { start: Rate { tokens: f64::from(start.max(1)), seconds: 1.0 }, ranks: Vec::new() }
    }

    /// Records a completed request, which occupied a slot for `took`.
    pub(super) fn record(&mut self, ticket: &Ticket, took: Duration) {
        let rank = usize::from(ticket.rank);
        if self.ranks.len() <= rank {
            self.ranks.resize(rank + 1, self.start.clone());
        }
        self.ranks[rank].record(ticket.tokens(), took);
    }

    /// Returns the predicted time for which a ticket occupies a slot.
    pub(super) fn time(&self, ticket: &Ticket) -> Duration {
        let rate = self.ranks.get(usize::from(ticket.rank)).unwrap_or(&self.start);
        rate.time(ticket.tokens())
    }
}

impl Rate {
    fn record(&mut self, tokens: u64, took: Duration) {
        self.tokens = self.tokens * DECAY + tokens as f64;
        self.seconds = self.seconds * DECAY + took.as_secs_f64();
    }

    fn time(&self, tokens: u64) -> Duration {
        let seconds = tokens as f64 * self.seconds / self.tokens.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
