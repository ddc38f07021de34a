//! Metrics and the log line of one request; `docs/METRICS.md` lists the metrics.

use std::sync::Arc;
use std::time::Duration;

use board::Board;
use burn::count;
use config::Document;
use log::Level;
use metrics::Histogram;
use metrics::counter;
use metrics::histogram;
use wire::id;

use crate::request::Request;
use crate::timing::Timing;

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The complete answer was sent.
    Served,
    /// The request was refused before any part of the answer was sent.
    Refused,
    /// The engine rejected the request as invalid.
    Rejected,
    /// The answer was cut off.
    Cut,
    /// The caller disconnected.
    Left,
}

/// Records whether an answer that was cut off was resumed or lost.
pub(crate) fn record_resume(outcome: &'static str) {
    counter!("lycheeknot_entry_resumes_total", "outcome" => outcome).increment(1);
}

/// Measures one request and records its outcome when dropped: [`Outcome::Left`] if none
/// was set.
pub(crate) struct Meter {
    board: Arc<Board>,
    request: id::Request,
    account: id::Account,
    service: id::Service,
    rank: String,
    arrived: Duration,
    timing: Timing,
    gap: Histogram,
    outcome: Outcome,
    cause: String,
}

impl Meter {
    /// Creates the meter of a request that arrived.
    pub(crate) fn new(board: &Arc<Board>, document: &Document, request: &Request) -> Meter {
        let timing = Timing::new(document, request);
        let rank = document.rank(request.rank).map(|rank| rank.name.clone()).unwrap_or_default();
        Meter {
            board: Arc::clone(board),
            request: request.id,
            account: request.account.clone(),
            service: request.service.clone(),
            gap: histogram!("lycheeknot_entry_token_gap_seconds", "rank" => rank.clone()),
            rank,
            arrived: request.arrived,
            timing,
            outcome: Outcome::Left,
            cause: String::new(),
        }
    }

    /// Records that an attempt is sent.
    pub(crate) fn record_attempt(&self, is_retry: bool) {
        counter!("lycheeknot_entry_attempts_total", "rank" => self.rank.clone()).increment(1);
        if is_retry {
            counter!("lycheeknot_entry_retries_total", "rank" => self.rank.clone()).increment(1);
        }
    }

    /// Records that a chunk of the answer came, and its latency.
    pub(crate) fn record_chunk(&mut self) {
        let now = self.board.now();
        match self.timing.last_chunk() {
            Some(last) => self.gap.record(now.saturating_sub(last)),
            None => {
                let first = now.saturating_sub(self.arrived);
                histogram!("lycheeknot_entry_first_token_seconds", "rank" => self.rank.clone())
                    .record(first);
            }
        }
        self.timing.record_chunk(now);
    }

    /// Sets the outcome to [`Outcome::Served`].
    pub(crate) fn record_served(&mut self) {
        self.outcome = Outcome::Served;
    }

    /// Sets the outcome of a request that got no complete answer, and the cause that is
    /// logged.
    pub(crate) fn record_failure(&mut self, outcome: Outcome, cause: impl Into<String>) {
        self.outcome = outcome;
        self.cause = cause.into();
    }

    /// Returns the level of the log line. Refusals come in floods and are counted by
    /// metrics, so they aren't logged as warnings.
    fn level(&self) -> Level {
        if self.outcome == Outcome::Cut { Level::Warn } else { Level::Debug }
    }
}

impl Outcome {
    /// Returns the outcome that counts towards the service level; `None` if the caller
    /// left or sent an invalid request.
    fn service_level_outcome(self, is_late: bool) -> Option<count::Outcome> {
        match self {
            Outcome::Served if is_late => Some(count::Outcome::Late),
            Outcome::Served => Some(count::Outcome::Good),
            Outcome::Refused => Some(count::Outcome::Refused),
            Outcome::Cut => Some(count::Outcome::Failed),
            Outcome::Rejected | Outcome::Left => None,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::Refused => "refused",
            Outcome::Rejected => "rejected",
            Outcome::Cut => "cut",
            Outcome::Left => "left",
        }
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        let outcome = self.outcome.name();
        counter!(
            "lycheeknot_entry_requests_total",
            "service" => self.service.clone(),
            "rank" => self.rank.clone(),
            "outcome" => outcome
        )
        .increment(1);
        if let Some(counted) = self.outcome.service_level_outcome(self.timing.is_late()) {
            self.board.record(&self.service, &self.account, counted);
        }
        log::log!(
            self.level(),
            request:% = format_args!("{:032x}", self.request),
            account = self.account,
            service = self.service,
            rank = self.rank,
            revision = self.board.revision(),
            cause = self.cause;
            "request {outcome}"
        );
    }
}
