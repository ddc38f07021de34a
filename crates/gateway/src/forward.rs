//! Forwards a request to endpoints, with retries as its route allows.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::attempt;
use crate::attempt::FullResponse;
use crate::attempt::Outcome;
use crate::criteria::Choice;
use crate::criteria::Criteria;
use crate::record;
use crate::record::Pending;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::Request;
use crate::response::Response;
use crate::worker::Worker;

/// Attempts that may end without any byte of the request sent before the request is refused. Each
/// may wait for a connection.
const MAX_UNSENT: usize = 3;

/// Endpoints at which nothing listens that may be tried before the request is refused. They refuse
/// connections at once, and many of them may have crashed together.
const MAX_ABSENT: usize = 12;

/// One in this many requests that can't be repeated may probe an ejected endpoint. Without
/// them a service that has no repeatable requests would never get its endpoints back.
const PROBE_ONE_IN: u64 = 8;

/// The attempts of a request so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct Attempts {
    /// Ids of the endpoints that were tried, in this order; none of them is tried again.
    pub(crate) tried: Vec<Arc<str>>,
    /// The software version at which the stream began, if a part of it has reached the client.
    pub(crate) version: Option<Arc<str>>,
    /// Attempts in which the request was sent.
    pub(crate) sent: u32,
    /// Attempts in which no byte of the request was sent.
    unsent: usize,
    /// Attempts at endpoints at which nothing listens.
    absent: usize,
    /// Whether the request may have run in one of the attempts.
    may_have_run: bool,
    /// Whether the request or its stream has broken off in one of the attempts.
    pub(crate) has_broken_off: bool,
    /// The last server error of an endpoint; the client is sent it if no attempt succeeds.
    failure: Option<FullResponse>,
}

/// Forwards a request, and records its outcome.
///
/// # Errors
///
/// The [`Refusal`] that the client is sent if there is no endpoint's response to pass on.
pub(crate) async fn run(worker: &Rc<Worker>, request: &Rc<Request>) -> Result<Response, Refusal> {
    if let Some(left) = blocked_for(worker, request) {
        let response = Err(Refusal::Quarantined(left));
        record::request(request, &Attempts::default(), &response);
        return response;
    }
    worker.earn_retry(&request.service);
    let mut attempts = Attempts::default();
    let pending = Pending::new(request);
    let response = async {
        attempts.version = find_version(worker, request).await?;
        forward(worker, request, &mut attempts).await
    };
    // At the end of a stop an answer that promises nothing is better than a connection that closes.
    let response = worker.context.overdue.run_until_cancelled(response).await;
    let response = response.unwrap_or(Err(Refusal::Late));
    pending.finish();
    record::request(request, &attempts, &response);
    response
}

/// Returns the version that began the stream that a request takes up; `None` if it takes up none.
async fn find_version(worker: &Worker, request: &Request) -> Result<Option<Arc<str>>, Refusal> {
    if !request.is_resumable() {
        return Ok(None);
    }
    let routing = &worker.context.routing;
    if request.metadata.last_event.is_none() {
        let endpoints = || routing.endpoints();
        let left = routing.origins().refused_for(&request.service, endpoints, routing.now());
        return left.map_or(Ok(None), |left| Err(Refusal::Unsecured(left)));
    }
    let version = routing.find_version(&request.service, request.stream_id(), request.deadline);
    version.await.map(Some).ok_or(Refusal::UnknownVersion)
}

/// Sends a request to one endpoint after the other until one responds or no more may be tried.
async fn forward(
    worker: &Rc<Worker>,
    request: &Rc<Request>,
    attempts: &mut Attempts,
) -> Result<Response, Refusal> {
    loop {
        let last_event = request.metadata.last_event;
        let Some(outcome) = send_next(worker, request, attempts, last_event).await else {
            return attempts
                .result()
                .map_err(|refusal| explain(worker, request, attempts, refusal));
        };
        let is_retried = match outcome {
            Outcome::Stream(start) => {
                attempts.sent += 1;
                let relay = Relay::new(worker, Rc::clone(request), attempts.clone(), *start);
                return Ok(Response::Stream(Box::new(relay)));
            }
            Outcome::Full(full) if !full.status.is_server_error() => {
                attempts.sent += 1;
                return Ok(Response::Full(full));
            }
            Outcome::Full(full) => {
                attempts.sent += 1;
                attempts.may_have_run = true;
                attempts.failure = Some(full);
                allow_repeat(worker, request, attempts)
            }
            Outcome::Unsent => {
                attempts.unsent += 1;
                attempts.unsent < MAX_UNSENT
            }
            Outcome::Absent => {
                attempts.absent += 1;
                attempts.absent < MAX_ABSENT
            }
            Outcome::NotRun => {
                attempts.sent += 1;
                attempts.sent < request.rule.attempts && worker.spend_retry(&request.service)
            }
            Outcome::Unknown => {
                attempts.sent += 1;
                attempts.may_have_run = true;
                attempts.has_broken_off = true;
                allow_repeat(worker, request, attempts)
            }
            Outcome::Silent => {
                attempts.sent += 1;
                attempts.may_have_run = true;
                allow_repeat(worker, request, attempts)
            }
            Outcome::TimedOut => return Err(Refusal::Late),
        };
        if !is_retried {
            return attempts.result();
        }
    }
}

/// Sends a request to the next endpoint, and returns the outcome; `None` if no endpoint is left.
///
/// A stream that is resumed continues after the event with the id `last_event`.
pub(crate) async fn send_next(
    worker: &Rc<Worker>,
    request: &Request,
    attempts: &mut Attempts,
    last_event: Option<u64>,
) -> Option<Outcome> {
    // It may have been blamed since the attempt before.
    if blocked_for(worker, request).is_some() {
        return None;
    }
    let choice = choose_next(worker, request, attempts)?;
    attempts.tried.push(Arc::clone(&choice.endpoint.id));
    let outcome = attempt::send(worker, request, &choice, last_event, attempts).await;
    record::attempt(request, &choice.endpoint, &outcome);
    Some(outcome)
}

/// Returns how long requests like this one are refused, as they crash endpoints.
fn blocked_for(worker: &Worker, request: &Request) -> Option<Duration> {
    let routing = &worker.context.routing;
    routing.quarantine().blocked_for(&request.suspect, routing.now())
}

/// Chooses the endpoint of the next attempt, and counts the request as in flight there.
fn choose_next(worker: &Worker, request: &Request, attempts: &Attempts) -> Option<Choice> {
    let versions = worker.context.routing.origins().journal.versions();
    let preferred = if request.is_resumable() { &versions[..] } else { &[] };
    let criteria = Criteria { preferred, ..criteria(worker, request, attempts) };
    worker.context.routing.choose(&criteria)
}

/// Returns what is required of the endpoint of the next attempt.
fn criteria<'a>(worker: &'a Worker, request: &'a Request, attempts: &'a Attempts) -> Criteria<'a> {
    let seed = rand::rng().random();
    Criteria {
        service: &request.service,
        centre: &worker.context.centre,
        version: attempts.version.as_deref(),
        preferred: &[],
        tried: &attempts.tried,
        part: request.metadata.shared_part(),
        can_probe: request.rule.kind.is_repeatable() || seed % PROBE_ONE_IN == 0,
        can_fail: can_repeat(worker, request, attempts.sent + 1),
        now: worker.context.routing.now(),
        seed,
    }
}

/// Turns the refusal of a request for which no endpoint is left into one that names the cause, if
/// it is known.
fn explain(worker: &Worker, request: &Request, attempts: &Attempts, refusal: Refusal) -> Refusal {
    if refusal != Refusal::NotRun {
        return refusal;
    }
    let routing = &worker.context.routing;
    let criteria = criteria(worker, request, attempts);
    if let Some(limited) = routing.limited(&criteria) {
        return limited;
    }
    // Those that were tried may be the ones that want no requests, or may have been evacuated since.
    let criteria = Criteria { tried: &[], ..criteria };
    match routing.paused_for(&criteria) {
        Some(left) => Refusal::Paused(left),
        None if routing.is_evacuated(&criteria) => Refusal::Evacuated,
        None if attempts.version.is_some() && attempts.tried.is_empty() => Refusal::NoVersion,
        None => Refusal::NotRun,
    }
}

/// Decides whether a request that may have run is sent once more, and spends a retry if so.
pub(crate) fn allow_repeat(worker: &Worker, request: &Request, attempts: &Attempts) -> bool {
    request.rule.kind.is_repeatable()
        && attempts.sent < request.rule.attempts
        && worker.spend_retry(&request.service)
}

/// Whether a request that may have run may be sent once more after a number of attempts, as far as
/// is known now.
fn can_repeat(worker: &Worker, request: &Request, sent: u32) -> bool {
    request.rule.kind.is_repeatable()
        && sent < request.rule.attempts
        && worker.has_retry(&request.service)
}

/// Whether an attempt may be abandoned since another endpoint can be asked at once. `sent` counts
/// this attempt too.
pub(crate) fn may_abandon(
    worker: &Worker,
    request: &Request,
    attempts: &Attempts,
    sent: u32,
) -> bool {
    can_repeat(worker, request, sent)
        && worker.context.routing.can_choose(&criteria(worker, request, attempts))
}

impl Attempts {
    /// Returns the response to the client after all attempts have failed.
    fn result(&mut self) -> Result<Response, Refusal> {
        match self.failure.take() {
            Some(failure) => Ok(Response::Full(failure)),
            None if self.may_have_run => Err(Refusal::Unknown),
            None => Err(Refusal::NotRun),
        }
    }
}
