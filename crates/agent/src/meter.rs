//! Logs and metrics of attempts and of the gate's load.

use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use wire::Attempt;
use wire::Load;
use wire::Refusal;
use wire::id;

/// The outcome of one attempt, which is counted and logged when this is dropped.
pub(crate) struct Meter {
    request: id::Request,
    account: id::Account,
    service: id::Service,
    revision: id::Revision,
    outcome: String,
}

impl Meter {
    /// Returns a meter whose outcome is `gone` until another one is recorded.
    pub(crate) fn new(attempt: &Attempt, revision: id::Revision) -> Meter {
        Meter {
            request: attempt.request,
            account: attempt.account.clone(),
            service: attempt.service.clone(),
            revision,
            outcome: "gone".to_owned(),
        }
    }

    /// Records that the answer was sent whole.
    pub(crate) fn record_served(&mut self) {
        "served".clone_into(&mut self.outcome);
    }

    /// Records that the attempt ended in a refusal.
    pub(crate) fn record_refused(&mut self, refusal: &Refusal) {
        self.outcome = refusal.reason.to_string();
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        let (service, outcome) = (self.service.clone(), self.outcome.clone());
        counter!("lycheeknot_agent_attempts_total", "service" => service, "outcome" => outcome)
            .increment(1);
        log::debug!(
            request:% = format_args!("{:032x}", self.request),
            account = self.account,
            service = self.service,
            revision = self.revision;
            "attempt {}",
            self.outcome
        );
    }
}

/// Records how long work of a rank waited at the gate before it started.
pub(crate) fn record_wait(rank: id::Rank, time: Duration) {
    histogram!("lycheeknot_agent_wait_seconds", "rank" => rank.to_string()).record(time);
}

/// Records the gate's current load.
pub(crate) fn record_load(load: Load) {
    gauge!("lycheeknot_agent_running").set(load.running);
    gauge!("lycheeknot_agent_waiting").set(load.waiting);
    gauge!("lycheeknot_agent_tokens").set(load.tokens as f64);
}
