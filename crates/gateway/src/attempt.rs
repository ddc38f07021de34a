//! One request at one endpoint.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use link::Connection;
use link::Failure;
use link::Response;
use route::Endpoint;
use route::Reply;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::request::Request;
use crate::seat::Seat;
use crate::wish::Choice;
use crate::worker::Worker;

/// Longest whole answer, in bytes: the longest value that the store and the
/// endpoints are known to hold, so that one answer can't fill the memory.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// What came of one attempt.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The endpoint answered in full.
    Whole(Whole),
    /// The endpoint began a series of events.
    Begun(Box<Begun>),
    /// The request did not reach the endpoint.
    Unsent,
    /// The endpoint says that it did not run.
    NotRun,
    /// It is not known whether it ran.
    Unknown,
    /// The time was over.
    Late,
}

/// An answer in full.
#[derive(Debug, Clone)]
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An answer whose body comes in pieces.
#[derive(Debug)]
pub(crate) struct Begun {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) response: Response,
    pub(crate) connection: Connection,
    pub(crate) seat: Seat,
}

/// Sends a request to an endpoint, after an event where it is a stream that goes on.
pub(crate) async fn send(
    worker: &Rc<Worker>,
    request: &Request,
    choice: &Choice,
    last_event: Option<u64>,
) -> Outcome {
    let seat = Seat::of(&worker.context.knowledge, &choice.endpoint.id);
    let exchange = exchange(worker, request, choice, last_event, seat);
    let Ok(outcome) = timeout_at(request.deadline, exchange).await else {
        return Outcome::Late;
    };
    outcome
}

async fn exchange(
    worker: &Rc<Worker>,
    request: &Request,
    choice: &Choice,
    last_event: Option<u64>,
    seat: Seat,
) -> Outcome {
    let endpoint = &choice.endpoint;
    let knowledge = &worker.context.knowledge;
    let dialect = &*worker.context.dialect;
    let mut connection = match worker.pool.take(endpoint.address).await {
        Ok(connection) => connection,
        Err(failure) => return failed(worker, request, endpoint, &failure),
    };
    let encoded = match request.encode(dialect, choice, last_event) {
        Ok(encoded) => encoded,
        Err(error) => {
            log::warn!(id = request.id(); "the request can't be passed on: {error}");
            return Outcome::Unsent;
        }
    };
    let sent = Instant::now();
    let response = match connection.send(encoded).await {
        Ok(response) => response,
        Err(failure) => return failed(worker, request, endpoint, &failure),
    };
    let status = response.status();
    let reply = dialect.reply(status.as_u16(), response.headers());
    if !is_own(request, &reply) {
        log::warn!(id = request.id(), endpoint = &*endpoint.id, answer:? = reply.request;
            "an answer to another request");
        knowledge.failed(endpoint);
        return Outcome::Unknown;
    }
    if let Some(load) = reply.load {
        knowledge.told(&endpoint.id, load);
    }
    if reply.is_other_endpoint {
        knowledge.replaced(&endpoint.id);
    }
    let is_good = status.is_success();
    if is_good && request.rule.kind.is_stream() {
        knowledge.answered(endpoint, sent.elapsed());
        let endpoint = Arc::clone(endpoint);
        return Outcome::Begun(Box::new(Begun { endpoint, response, connection, seat }));
    }
    let (head, body) = response.into_parts();
    let body = match Limited::new(body, ANSWER_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if reply.is_not_run => {
            log::debug!(id = request.id(); "the body of a refusal broke off: {error}");
            return Outcome::NotRun;
        }
        Err(error) => {
            let failure = Failure::Broken(error.to_string());
            return failed(worker, request, endpoint, &failure);
        }
    };
    worker.pool.put(connection);
    if reply.is_not_run {
        return Outcome::NotRun;
    }
    if status.is_server_error() {
        knowledge.failed(endpoint);
    } else {
        knowledge.answered(endpoint, sent.elapsed());
    }
    Outcome::Whole(Whole { status, headers: head.headers, body })
}

/// Whether an answer belongs to the request. One without an id is taken for a
/// refusal only, since endpoints echo the id of what they run.
fn is_own(request: &Request, reply: &Reply) -> bool {
    match (&request.ask.id, &reply.request) {
        (Some(own), Some(echoed)) => own == echoed,
        (Some(_), None) => reply.is_not_run,
        (None, _) => true,
    }
}

fn failed(
    worker: &Rc<Worker>,
    request: &Request,
    endpoint: &Endpoint,
    failure: &Failure,
) -> Outcome {
    let is_ejected = worker.context.knowledge.failed(endpoint);
    log::warn!(id = request.id(), endpoint = &*endpoint.id, address:% = endpoint.address,
        is_ejected; "{failure}");
    match failure {
        Failure::Unsent(_) => Outcome::Unsent,
        Failure::Broken(_) => Outcome::Unknown,
    }
}
