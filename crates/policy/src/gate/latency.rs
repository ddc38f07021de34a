//! Time to first token, learnt from requests that ran.

use std::time::Duration;

use crate::gate::Rules;
use crate::gate::Ticket;

/// Factor applied to the weight of older requests at each first token.
const DECAY: f64 = 0.95;

/// Weight of each new error in the moving averages of the error and the deviation.
const ERROR_GAIN: f64 = 0.1;

/// Safety margin of a prediction, in mean deviations.
const MARGIN_DEVIATIONS: f64 = 2.0;

/// Every request may wait for this fraction (1/n) of its rank's first-token target.
///
/// Without it busy engines would refuse every long prompt, whose prefill alone may
/// take the whole target.
const WAIT_DIVISOR: u32 = 2;

/// Estimates of the time to first token by rank.
///
/// A rank without a first token so far uses the estimate over all ranks.
#[derive(Debug, Clone, Default)]
pub(super) struct Latencies {
    all: Latency,
    ranks: Vec<Latency>,
}

/// The estimate of one rank, in seconds.
#[derive(Debug, Clone, Default)]
struct Latency {
    /// Decayed sums of the times from start to first token and of the prompt tokens.
    seconds: f64,
    tokens: f64,
    /// Mean deviation of single times from the mean for their prompts.
    deviation: f64,
    /// Mean time by which first tokens of requests that waited came after their
    /// prediction, and its mean deviation.
    lateness: f64,
    lateness_deviation: f64,
}

impl Latencies {
    /// Records the time from start to first token.
    pub(super) fn record(&mut self, ticket: &Ticket, took: Duration) {
        self.all.record(ticket, took);
        self.latency_mut(ticket).record(ticket, took);
    }

    /// Records for a ticket that waited when its first token was predicted and when it
    /// came (`first`), or could have come at the earliest if the ticket expired.
    pub(super) fn record_prediction(
        &mut self,
        ticket: &Ticket,
        predicted: Duration,
        first: Duration,
    ) {
        let latency = self.latency_mut(ticket);
        let error = first.as_secs_f64() - predicted.as_secs_f64();
        let deviation = (error - latency.lateness).abs();
        latency.lateness += ERROR_GAIN * (error - latency.lateness);
        latency.lateness_deviation += ERROR_GAIN * (deviation - latency.lateness_deviation);
    }

    /// Returns the predicted time from start to first token, with a safety margin.
    pub(super) fn time(&self, ticket: &Ticket) -> Duration {
        let latency =
            self.latency(ticket).filter(|latency| latency.tokens > 0.0).unwrap_or(&self.all);
        seconds(latency.mean(ticket) + MARGIN_DEVIATIONS * latency.deviation)
    }

    /// Returns the safety margin of a predicted wait.
    fn margin(&self, ticket: &Ticket) -> Duration {
        let Some(latency) = self.latency(ticket) else { return Duration::ZERO };
        seconds(latency.lateness + MARGIN_DEVIATIONS * latency.lateness_deviation)
    }

    /// Returns the latest time to start a waiting ticket, since the process's start.
    pub(super) fn start_by(&self, rules: &Rules, ticket: &Ticket) -> Duration {
        start_by(rules, ticket, self.time(ticket))
    }

    /// Returns the latest predicted start with which a newcomer is admitted, since the
    /// process's start.
    pub(super) fn predicted_start_by(&self, rules: &Rules, ticket: &Ticket) -> Duration {
        start_by(rules, ticket, self.time(ticket).saturating_add(self.margin(ticket)))
    }

    fn latency(&self, ticket: &Ticket) -> Option<&Latency> {
        self.ranks.get(usize::from(ticket.rank))
    }

    fn latency_mut(&mut self, ticket: &Ticket) -> &mut Latency {
        let rank = usize::from(ticket.rank);
        if self.ranks.len() <= rank {
            self.ranks.resize_with(rank + 1, Latency::default);
        }
        &mut self.ranks[rank]
    }
}

impl Latency {
    fn record(&mut self, ticket: &Ticket, took: Duration) {
        let seconds = took.as_secs_f64();
        if self.tokens > 0.0 {
            let error = (seconds - self.mean(ticket)).abs();
            self.deviation += ERROR_GAIN * (error - self.deviation);
        }
        self.seconds = self.seconds * DECAY + seconds;
        self.tokens = self.tokens * DECAY + prompt(ticket);
    }

    /// Returns the mean time to first token for the ticket's prompt length, cache hits
    /// included.
    fn mean(&self, ticket: &Ticket) -> f64 {
        if self.tokens <= 0.0 {
            return 0.0;
        }
        self.seconds / self.tokens * prompt(ticket)
    }
}

fn start_by(rules: &Rules, ticket: &Ticket, latency: Duration) -> Duration {
    let longest = rules.first_token(ticket.rank) / WAIT_DIVISOR;
    ticket.due.saturating_sub(latency.min(longest)).min(ticket.deadline)
}

/// Returns the prompt tokens; 1 for a plain call, so that all plain calls weigh the same.
fn prompt(ticket: &Ticket) -> f64 {
    f64::from(ticket.cost.prompt.max(1))
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
