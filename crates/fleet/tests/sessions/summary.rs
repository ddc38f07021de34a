//! The check that every outcome of a load is a correct answer or an accurate
//! error.

use std::collections::BTreeMap;

use fleet::Outcome;
use serde_json::Value;

use crate::fixture::Fixture;
use crate::fixture::Runs;
use crate::job::Job;
use crate::load::Exchange;
use crate::load::Sender;

/// Number of outcomes of a load by class, and the violations found.
#[derive(Debug, Default)]
pub struct Summary {
    /// Complete and correct answers.
    pub correct: usize,
    /// Refusals of requests that, as the refusal says, did not run.
    pub not_run: usize,
    /// Refusals which say that the request may have run.
    pub unknown: usize,
    /// Answers that broke off and ended with an error event.
    pub interrupted: usize,
    /// Connections that broke off because their entry was killed.
    pub disconnected: usize,
    /// Number of refusals by problem type.
    pub refusals: BTreeMap<String, usize>,
    /// Descriptions of outcomes that must not occur.
    pub violations: Vec<String>,
}

impl Summary {
    /// Checks the outcomes of a load and returns the summary.
    ///
    /// Only connections to the entry with the index `killed` may break off. Bookings
    /// without an answer are sent again, through an entry that lives, and must not
    /// run a second time.
    pub async fn check(
        fixture: &Fixture,
        exchanges: &[Exchange],
        killed: Option<usize>,
    ) -> Summary {
        let mut summary = Summary::default();
        let runs = fixture.runs().await;
        for exchange in exchanges {
            summary.count(exchange, killed);
            summary.check_runs(exchange, &runs);
        }
        summary.repeat_bookings(fixture, exchanges, killed).await;
        eprintln!("{} requests: {summary:?}", exchanges.len());
        summary
    }

    /// Counts an outcome in its class, or records a violation.
    fn count(&mut self, exchange: &Exchange, killed: Option<usize>) {
        if let Outcome::Refused(refusal) = &exchange.outcome {
            *self.refusals.entry(refusal.kind.clone()).or_default() += 1;
        }
        match &exchange.outcome {
            Outcome::Answer(answer) if answer.text == exchange.job.expected() => self.correct += 1,
            Outcome::Refused(refusal) if refusal.ran == "no" => self.not_run += 1,
            Outcome::Refused(refusal) if refusal.ran == "unknown" => self.unknown += 1,
            Outcome::Failed(_) if killed == Some(exchange.entry) => self.disconnected += 1,
            Outcome::Failed(reason) if is_interruption_report(reason) => self.interrupted += 1,
            _ => self
                .violations
                .push(format!("neither a correct answer nor an accurate error: {exchange:?}")),
        }
    }

    /// Compares the outcome of a booking with the counters of the registries.
    fn check_runs(&mut self, exchange: &Exchange, runs: &Runs) {
        let Job::Booking { round } = &exchange.job else { return };
        let runs = runs.count(round);
        let fits = match &exchange.outcome {
            Outcome::Answer(_) => runs == 1,
            Outcome::Refused(refusal) if refusal.ran == "no" => runs == 0,
            Outcome::Refused(_) | Outcome::Failed(_) => runs <= 1,
        };
        if !fits {
            self.violations.push(format!("{runs} runs: {exchange:?}"));
        }
    }

    /// Sends the bookings without an answer again; a round that has run twice
    /// afterwards is a violation.
    async fn repeat_bookings(
        &mut self,
        fixture: &Fixture,
        exchanges: &[Exchange],
        killed: Option<usize>,
    ) {
        let entry = if killed == Some(0) { 1 } else { 0 };
        let sender = Sender::new(fixture);
        for exchange in exchanges {
            if exchange.job.is_booking() && exchange.outcome.answer().is_none() {
                sender.send(entry, &exchange.job).await;
            }
        }
        let runs = fixture.runs().await;
        for exchange in exchanges {
            let Job::Booking { round } = &exchange.job else { continue };
            if runs.count(round) > 1 {
                self.violations.push(format!("ran again when repeated: {exchange:?}"));
            }
        }
    }
}

/// Returns whether the data of an error event is a problem document which says
/// that the request may have run.
fn is_interruption_report(reason: &str) -> bool {
    let problem: Result<Value, _> = serde_json::from_str(reason);
    problem.is_ok_and(|problem| problem["ran"] == "unknown")
}
