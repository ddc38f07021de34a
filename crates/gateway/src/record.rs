//! One log line a decision, and the counts of them; `docs/METRICS.md` lists these.

use metrics::counter;
use metrics::histogram;
use route::Endpoint;
use route::Version;

use crate::answer::Answer;
use crate::attempt::Outcome;
use crate::forward::Tries;
use crate::refusal::Refusal;
use crate::request::Request;

/// A request that was refused before an endpoint was chosen.
pub(crate) fn refusal(id: Option<&str>, path: &str, version: Version, refusal: Refusal) {
    log::info!(id = id.unwrap_or("-"), path, version, status = refusal.status().as_u16(),
        outcome = refusal.name(); "request");
    count("-", "-", refusal.name());
}

/// Tells of a request whose client leaves before there is an answer.
pub(crate) struct Pending<'a> {
    request: &'a Request,
    is_answered: bool,
}

impl<'a> Pending<'a> {
    pub(crate) fn new(request: &'a Request) -> Pending<'a> {
        Pending { request, is_answered: false }
    }

    pub(crate) fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let request = self.request;
        log::info!(id = request.id(), route = &*request.rule.name, service = &*request.service,
            outcome = "left", ms = request.start.elapsed().as_millis() as u64; "request");
        count(&request.service, request.account_name(), "left");
    }
}

/// A request whose answer is complete or begins.
pub(crate) fn request(request: &Request, tries: &Tries, answer: &Result<Answer, Refusal>) {
    let (outcome, status) = match answer {
        Ok(Answer::Whole(whole)) if whole.status.is_server_error() => {
            ("failed", whole.status.as_u16())
        }
        Ok(Answer::Whole(whole)) => ("answered", whole.status.as_u16()),
        Ok(Answer::Stream(relay)) => ("begun", relay.status().as_u16()),
        Err(refusal) => (refusal.name(), refusal.status().as_u16()),
    };
    let elapsed = request.start.elapsed();
    log::info!(id = request.id(), route = &*request.rule.name, service = &*request.service,
        account = request.account_name(), version = request.version, rank = request.rank(),
        endpoint = tries.tried.last().map_or("-", |id| &**id), asked = tries.tried.len(),
        sent = tries.sent, status, outcome, ms = elapsed.as_millis() as u64; "request");
    count(&request.service, request.account_name(), outcome);
    if answer.is_ok() {
        histogram!("lycheeknot_gateway_first_byte_seconds", "service" => request.service.to_string())
            .record(elapsed);
    }
}

/// One attempt; those that went well are told by the request's line.
pub(crate) fn attempt(request: &Request, endpoint: &Endpoint, outcome: &Outcome) {
    let name = match outcome {
        Outcome::Whole(whole) if whole.status.is_server_error() => "failed",
        Outcome::Whole(_) => "answered",
        Outcome::Begun(_) => "begun",
        Outcome::Unsent => "unsent",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
        Outcome::Late => "late",
    };
    counter!("lycheeknot_gateway_attempts_total",
        "service" => request.service.to_string(), "outcome" => name)
    .increment(1);
    if !matches!(name, "answered" | "begun") {
        log::info!(id = request.id(), endpoint = &*endpoint.id, address:% = endpoint.address,
            born:? = endpoint.born, left_ms = request.patience().as_millis() as u64,
            outcome = name; "attempt");
    }
}

/// The end of a stream.
pub(crate) fn stream(request: &Request, tries: &Tries, last: Option<u64>, outcome: &'static str) {
    log::info!(id = request.id(), service = &*request.service,
        endpoint = tries.tried.last().map_or("-", |id| &**id), sent = tries.sent, last:?, outcome,
        ms = request.start.elapsed().as_millis() as u64; "stream");
    counter!("lycheeknot_gateway_streams_total",
        "service" => request.service.to_string(), "outcome" => outcome)
    .increment(1);
}

fn count(service: &str, account: &str, outcome: &'static str) {
    counter!("lycheeknot_gateway_requests_total", "service" => service.to_owned(),
        "account" => account.to_owned(), "outcome" => outcome)
    .increment(1);
}
