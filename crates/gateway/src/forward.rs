//! One request over as many endpoints as its kind allows.

use std::rc::Rc;
use std::sync::Arc;

use rand::RngExt;

use crate::answer::Answer;
use crate::attempt;
use crate::attempt::Outcome;
use crate::attempt::Whole;
use crate::record;
use crate::record::Pending;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request::Request;
use crate::wish::Choice;
use crate::wish::Wish;
use crate::worker::Worker;

/// Endpoints that may fail to take a connection before the request is refused.
const CONNECTS: usize = 3;

/// One of so many requests that can't be repeated may find out whether an endpoint
/// works again, so that services without other requests get theirs back.
const PROBE_PART: u64 = 8;

/// The attempts of one request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tries {
    /// Endpoints that are not asked again, in the order in which they were asked.
    pub(crate) tried: Vec<Arc<str>>,
    /// Endpoints that the request was sent to.
    pub(crate) sent: u32,
    unsent: usize,
    may_have_run: bool,
    /// An endpoint's failure, which is the answer where no other one comes.
    failure: Option<Whole>,
}

/// Passes a request on.
///
/// # Errors
///
/// What the client is told where no endpoint's answer can be passed on.
pub(crate) async fn run(worker: &Rc<Worker>, request: &Rc<Request>) -> Result<Answer, Refusal> {
    worker.earn_retry(&request.service);
    let mut tries = Tries::default();
    let pending = Pending::new(request);
    let answer = ask(worker, request, &mut tries).await;
    pending.answered();
    record::request(request, &tries, &answer);
    answer
}

async fn ask(
    worker: &Rc<Worker>,
    request: &Rc<Request>,
    tries: &mut Tries,
) -> Result<Answer, Refusal> {
    loop {
        let last_event = request.ask.last_event;
        let Some(outcome) = send_next(worker, request, tries, last_event).await else {
            return tries.last_resort();
        };
        let goes_on = match outcome {
            Outcome::Begun(begun) => {
                tries.sent += 1;
                let relay = Relay::new(worker, Rc::clone(request), tries.clone(), *begun);
                return Ok(Answer::Stream(Box::new(relay)));
            }
            Outcome::Whole(whole) if !whole.status.is_server_error() => {
                tries.sent += 1;
                return Ok(Answer::Whole(whole));
            }
            Outcome::Whole(whole) => {
                tries.sent += 1;
                tries.may_have_run = true;
                tries.failure = Some(whole);
                may_repeat(worker, request, tries)
            }
            Outcome::Unsent => {
                tries.unsent += 1;
                tries.unsent < CONNECTS
            }
            Outcome::NotRun => {
                tries.sent += 1;
                tries.sent < request.rule.attempts && worker.spend_retry(&request.service)
            }
            Outcome::Unknown => {
                tries.sent += 1;
                tries.may_have_run = true;
                may_repeat(worker, request, tries)
            }
            Outcome::Late => return Err(Refusal::Late),
        };
        if !goes_on {
            return tries.last_resort();
        }
    }
}

/// Sends a request to the next endpoint, after an event where it is a stream that goes
/// on; `None` where no endpoint is left.
pub(crate) async fn send_next(
    worker: &Rc<Worker>,
    request: &Request,
    tries: &mut Tries,
    last_event: Option<u64>,
) -> Option<Outcome> {
    let choice = next(worker, request, tries)?;
    tries.tried.push(Arc::clone(&choice.endpoint.id));
    let outcome = attempt::send(worker, request, &choice, last_event).await;
    record::attempt(request, &choice.endpoint, &outcome);
    Some(outcome)
}

/// The endpoint that a request is to be sent to next, where it is counted already.
fn next(worker: &Worker, request: &Request, tries: &Tries) -> Option<Choice> {
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
    /// What the client is given where no endpoint is asked any more.
    fn last_resort(&mut self) -> Result<Answer, Refusal> {
        match self.failure.take() {
            Some(failure) => Ok(Answer::Whole(failure)),
            None if self.may_have_run => Err(Refusal::Unknown),
            None => Err(Refusal::NotRun),
        }
    }
}
