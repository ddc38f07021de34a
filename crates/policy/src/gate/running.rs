//! Requests that the engine runs.

use std::time::Duration;

use crate::gate::Ticket;
use crate::gate::rate::Rates;

/// A started ticket.
#[derive(Debug, Clone)]
pub(super) struct Running {
    pub(super) ticket: Ticket,
    /// When it started, since the process's start.
    pub(super) start: Duration,
    /// Predicted time of its first token, if it waited.
    pub(super) predicted_first_token: Option<Duration>,
    /// Whether its first token has come.
    pub(super) has_first_token: bool,
}

impl Running {
    /// Returns the time since the start.
    pub(super) fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.start)
    }

    /// Returns the predicted time until its slot is free.
    pub(super) fn remaining(&self, rates: &Rates, now: Duration) -> Duration {
        rates.time(&self.ticket).saturating_sub(self.elapsed(now))
    }
}
