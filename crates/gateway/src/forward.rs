//! One request over as many endpoints as its kind allows.

use std::rc::Rc;
use std::sync::Arc;

use rand::RngExt;
use route::Endpoint;

use crate::answer::Answer;
use crate::attempt;
use crate::attempt::Outcome;
use crate::attempt::Whole;
use crate::knowledge::Wish;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::Request;
use crate::worker::Worker;

/// Endpoints that may fail to take a connection before the request is refused.
const CONNECTS: usize = 3;

/// One of so many requests that can't be repeated may find out whether an endpoint
/// works again, so that services without other requests get theirs back.
const PROBE_PART: u64 = 8;

/// The attempts of one request.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// Endpoints that are not asked again.
    pub(crate) tried: Vec<Arc<str>>,
    /// Endpoints that the request was sent to.
    pub(crate) sent: u32,
    unsent: usize,
    /// Whether it may have run.
    pub(crate) may_have_run: bool,
}

/// Passes a request on.
///
/// # Errors
///
/// What the client is told where no endpoint's answer can be passed on.
pub(crate) async fn run(worker: &Rc<Worker>, request: Rc<Request>) -> Result<Answer, Refusal> {
    worker.earn_retry(&request.service);
    let mut tries = Tries::default();
    loop {
        let Some(endpoint) = next(worker, &request, &tries) else {
            return Err(tries.refusal());
        };
        tries.tried.push(Arc::clone(&endpoint.id));
        let outcome = attempt::send(worker, &request, &endpoint, request.ask.last_event).await;
        match outcome {
            Outcome::Begun(begun) => {
                tries.sent += 1;
                return Ok(Answer::Stream(Box::new(Relay::new(worker, request, tries, *begun))));
            }
            Outcome::Whole(whole) => {
                tries.sent += 1;
                tries.may_have_run = true;
                let is_final =
                    !whole.status.is_server_error() || !may_repeat(worker, &request, &tries);
                if is_final {
                    return Ok(Answer::Whole(whole));
                }
                log::info!(id = request.id(), endpoint = &*endpoint.id,
                    status = whole.status.as_u16(); "sent again after a failure");
                return again(worker, request, tries, whole).await;
            }
            Outcome::Unsent => {
                tries.unsent += 1;
                if tries.unsent >= CONNECTS {
                    return Err(tries.refusal());
                }
            }
            Outcome::NotRun => {
                tries.sent += 1;
                if tries.sent >= request.rule.attempts || !worker.spend_retry(&request.service) {
                    return Err(tries.refusal());
                }
            }
            Outcome::Unknown => {
                tries.sent += 1;
                tries.may_have_run = true;
                if !may_repeat(worker, &request, &tries) {
                    return Err(tries.refusal());
                }
            }
            Outcome::Late => return Err(Refusal::Late),
        }
    }
}

/// Sends a request once more whose endpoint failed; its failure is the answer
/// where that brings nothing better.
async fn again(
    worker: &Rc<Worker>,
    request: Rc<Request>,
    mut tries: Tries,
    failure: Whole,
) -> Result<Answer, Refusal> {
    let Some(endpoint) = next(worker, &request, &tries) else { return Ok(Answer::Whole(failure)) };
    tries.tried.push(Arc::clone(&endpoint.id));
    tries.sent += 1;
    match attempt::send(worker, &request, &endpoint, request.ask.last_event).await {
        Outcome::Whole(whole) => Ok(Answer::Whole(whole)),
        Outcome::Begun(begun) => {
            Ok(Answer::Stream(Box::new(Relay::new(worker, request, tries, *begun))))
        }
        _ => Ok(Answer::Whole(failure)),
    }
}

/// The endpoint that a request is to be sent to next, where it is counted already.
pub(crate) fn next(worker: &Worker, request: &Request, tries: &Tries) -> Option<Arc<Endpoint>> {
    let seed = rand::rng().random();
    let wish = Wish {
        service: &request.service,
        centre: &worker.context.centre,
        tried: &tries.tried,
        part: request.ask.shared_part(),
        may_probe: request.rule.kind.is_repeatable() || seed % PROBE_PART == 0,
        seed,
    };
    worker.context.knowledge.choose(&wish)
}

/// Whether a request that may have run is sent once more.
pub(crate) fn may_repeat(worker: &Worker, request: &Request, tries: &Tries) -> bool {
    request.rule.kind.is_repeatable()
        && tries.sent < request.rule.attempts
        && worker.spend_retry(&request.service)
}

impl Tries {
    fn refusal(&self) -> Refusal {
        if self.may_have_run { Refusal::Unknown } else { Refusal::NotRun }
    }
}
