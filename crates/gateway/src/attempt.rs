//! A single attempt: sends a request to one endpoint.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use link::Body;
use link::Connection;
use link::Failure;
use link::Response;
use policy::exchange;
use policy::memory::Purpose;
use policy::speed::Kind;
use policy::speed::Work;
use route::Endpoint;
use route::Reply;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::crash_check;
use crate::criteria::Choice;
use crate::forward;
use crate::forward::Attempts;
use crate::in_flight::InFlight;
use crate::memory::Buffer;
use crate::memory::Held;
use crate::record;
use crate::request::Request;
use crate::silences::Stage;
use crate::worker::Worker;

/// Longest response that is buffered, in bytes, so that one response can't exhaust the
/// memory: the longest value that the store and the endpoints are known to hold.
const RESPONSE_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Content type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Outcome of an attempt.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The endpoint sent a complete response.
    Full(FullResponse),
    /// The endpoint started an event stream.
    Stream(Box<StreamStart>),
    /// No byte of the request was sent.
    Unsent,
    /// Nothing listens at the endpoint's address, so no byte was sent either.
    Absent,
    /// The endpoint reported that the request did not run.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
    /// The endpoint sent nothing for far longer than usual, and another one may be asked.
    Silent,
    /// The deadline passed.
    TimedOut,
}

/// A response with its whole body.
#[derive(Debug, Clone)]
pub(crate) struct FullResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Memory that the body takes.
    pub(crate) held: Rc<Held>,
}

/// The head of an event stream, with what is needed to read its events.
#[derive(Debug)]
pub(crate) struct StreamStart {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) response: Response,
    pub(crate) connection: Connection,
    pub(crate) in_flight: InFlight,
    /// When the request was sent.
    pub(crate) sent: Instant,
    /// Requests that the endpoint had then.
    pub(crate) requests: u32,
}

/// Sends a request to an endpoint and waits for its response until the request's deadline.
///
/// A stream that is resumed continues after the event with the id `last_event`. The endpoint is
/// already among the tried ones of `attempts`.
pub(crate) async fn send(
    worker: &Rc<Worker>,
    request: &Request,
    choice: &Choice,
    last_event: Option<u64>,
    attempts: &Attempts,
) -> Outcome {
    let routing = &worker.context.routing;
    let in_flight = InFlight::new(routing, &choice.endpoint.id);
    let silence_timeout =
        routing.silences().silence_timeout(&request.service, Stage::Head, request.time_left());
    let exchange =
        exchange(worker, request, choice, last_event, attempts, silence_timeout, in_flight);
    let sent = Instant::now();
    let Ok(outcome) = timeout_at(request.deadline, exchange).await else {
        // An attempt that began late may have had too little time.
        let had_time = sent.elapsed() * 2 >= request.deadline - request.start;
        if silence_timeout.is_none() && had_time {
            routing.record_silence(&choice.endpoint);
        }
        return Outcome::TimedOut;
    };
    outcome
}

/// Sends a request and reads the response, without a time limit.
async fn exchange(
    worker: &Rc<Worker>,
    request: &Request,
    choice: &Choice,
    last_event: Option<u64>,
    attempts: &Attempts,
    silence_timeout: Option<Duration>,
    in_flight: InFlight,
) -> Outcome {
    let is_repeated = attempts.has_broken_off;
    let endpoint = &choice.endpoint;
    let routing = &worker.context.routing;
    let dialect = &*worker.context.dialect;
    let mut connection = match worker.pool.take(endpoint.address).await {
        Ok(connection) => connection,
        Err(failure) => {
            if matches!(failure, Failure::Refused(_)) {
                crash_check::record_end(worker, endpoint);
            }
            return fail(worker, request, endpoint, &failure);
        }
    };
    let encoded = match request.encode(dialect, choice, last_event) {
        Ok(encoded) => encoded,
        Err(error) => {
            log::warn!(id = request.id(); "the request can't be encoded for the endpoint: {error}");
            return Outcome::Unsent;
        }
    };
    let sent = Instant::now();
    let responding = wait(connection.send(encoded), silence_timeout, || {
        abandon(worker, request, endpoint, attempts, sent.elapsed())
    });
    let response = match responding.await {
        None => return Outcome::Silent,
        Some(Ok(response)) => response,
        Some(Err(failure)) => {
            if matches!(failure, Failure::Broken(_)) {
                crash_check::start(worker, request, endpoint, None, is_repeated);
            }
            return fail(worker, request, endpoint, &failure);
        }
    };
    let begun = Instant::now();
    let status = response.status();
    if !is_final(status) {
        let cause = format!("{} is no status of a final response", status.as_u16());
        return fail(worker, request, endpoint, &Failure::Broken(cause));
    }
    let reply = dialect.reply(status.as_u16(), response.headers());
    // It is the endpoint's word also in a response to an earlier request.
    if !reply.is_other_endpoint {
        routing.record_notice(endpoint, &reply);
    }
    if !matches_request(request, &reply, connection.is_reused()) {
        log::warn!(id = request.id(), endpoint = &*endpoint.id, answer:? = reply.request_id;
            "an answer to another request");
        routing.record_failure(endpoint);
        return Outcome::Unknown;
    }
    if let Some(load) = reply.load {
        routing.record_load(&endpoint.id, load);
    }
    // Only a success without a limit says that the endpoint has none: refusals may lack the header.
    if reply.max_rate.is_some() || status.is_success() {
        routing.record_max_rate(&endpoint.id, reply.max_rate);
    }
    if reply.is_other_endpoint {
        routing.with_directory(|directory, _| directory.set_replaced(&endpoint.id));
        routing.record_crash(endpoint);
    }
    let is_success = status.is_success();
    if is_success {
        routing.silences().record(&request.service, Stage::Head, begun - sent);
    }
    if is_success && request.rule.kind.is_stream() && may_be_events(response.headers()) {
        routing.record_success(endpoint, sent.elapsed());
        let endpoint = Arc::clone(endpoint);
        return Outcome::Stream(Box::new(StreamStart {
            endpoint,
            response,
            connection,
            in_flight,
            sent,
            requests: choice.requests,
        }));
    }
    let (head, body) = response.into_parts();
    let (body, held) = match collect(worker, body).await {
        Ok(collected) => collected,
        Err(cause) if reply.is_not_run => {
            log::debug!(id = request.id(); "reading the body of a refusal failed: {cause}");
            return Outcome::NotRun;
        }
        Err(cause) => {
            crash_check::start(worker, request, endpoint, Some(begun.elapsed()), is_repeated);
            return fail(worker, request, endpoint, &Failure::Broken(cause));
        }
    };
    worker.pool.put(connection);
    if reply.is_not_run {
        return Outcome::NotRun;
    }
    if status.is_server_error() {
        routing.record_failure(endpoint);
    } else {
        routing.record_success(endpoint, sent.elapsed());
        routing.quarantine().record_success(&request.suspect, routing.now());
    }
    // Refusals of other kinds take less work.
    if is_success {
        // The way to another data centre is part of the time.
        let is_far = *endpoint.centre != *worker.context.centre;
        let class = exchange::fingerprint(&request.rule.name) ^ u32::from(is_far);
        let tokens = request.metadata.prompt_tokens;
        let work = Work { kind: Kind::Whole, class, tokens, requests: choice.requests };
        routing.record_time(endpoint, work, sent.elapsed());
    }
    let held = Rc::new(held);
    Outcome::Full(FullResponse { status, headers: head.headers, body, held })
}

/// Waits for a result. If none comes within the timeout, `is_abandoned` decides; returns `None` if the
/// attempt is abandoned.
async fn wait<T>(
    result: impl Future<Output = T>,
    silence_timeout: Option<Duration>,
    is_abandoned: impl FnOnce() -> bool,
) -> Option<T> {
    let Some(silence_timeout) = silence_timeout else { return Some(result.await) };
    let mut result = pin!(result);
    if let Ok(result) = timeout(silence_timeout, &mut result).await {
        return Some(result);
    }
    if is_abandoned() { None } else { Some(result.await) }
}

/// Decides whether an attempt is abandoned at an endpoint that has sent nothing for some time, and
/// records the silence.
fn abandon(
    worker: &Worker,
    request: &Request,
    endpoint: &Endpoint,
    attempts: &Attempts,
    waited: Duration,
) -> bool {
    let routing = &worker.context.routing;
    if !forward::may_abandon(worker, request, attempts, attempts.sent + 1) {
        routing.record_silence(endpoint);
        return false;
    }
    routing.silences().record(&request.service, Stage::Head, waited);
    let is_ejected = routing.record_failure(endpoint);
    record::silence(request, endpoint, waited, is_ejected);
    true
}

/// Whether a status is one of a final response (RFC 9110, section 15). Codes of 600 and above have no
/// class, and a protocol is never switched.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether a response may be an event stream. A body of another type has no events by whose ends
/// it could be checked.
fn may_be_events(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    content_type.is_none_or(|value| {
        let start = value.get(..EVENT_STREAM.len());
        start.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
    })
}

/// Reads a body whole.
///
/// # Errors
///
/// A description of why that failed: the body broke off, it is too long, or the bodies that are
/// read at the same time take too much memory together.
async fn collect(worker: &Worker, mut body: Body) -> Result<(Bytes, Held), String> {
    let held = worker.memory.hold(Purpose::Response);
    let mut buffer = Buffer::new(held, RESPONSE_MAX_BYTES);
    while let Some(frame) = body.frame().await {
        // Trailers are ignored.
        let Ok(data) = frame.map_err(|error| error.to_string())?.into_data() else { continue };
        if buffer.len() + data.len() > RESPONSE_MAX_BYTES {
            return Err(format!("the body is longer than {RESPONSE_MAX_BYTES} bytes"));
        }
        if !buffer.extend(&data) {
            record::full("response");
            return Err("the bodies of all responses take too much memory".to_owned());
        }
    }
    Ok(buffer.finish())
}

/// Checks that a response belongs to the request.
///
/// A response without a request id is only accepted as a refusal, since endpoints echo the
/// ids of requests that they run, and only on a new connection: on one that was reused it may
/// belong to an earlier request.
fn matches_request(request: &Request, reply: &Reply, is_reused: bool) -> bool {
    match (&request.metadata.id, &reply.request_id) {
        (Some(id), Some(echoed)) => id == echoed,
        (Some(_), None) => reply.is_not_run && !is_reused,
        (None, _) => true,
    }
}

/// Records and logs a failed attempt, and returns its outcome.
fn fail(worker: &Rc<Worker>, request: &Request, endpoint: &Endpoint, failure: &Failure) -> Outcome {
    let is_ejected = worker.context.routing.record_failure(endpoint);
    log::warn!(id = request.id(), endpoint = &*endpoint.id, address:% = endpoint.address,
        content:% = format_args!("{:x}", request.content), parts = request.part_names(), is_ejected;
        "{failure}");
    match failure {
        Failure::Unsent(_) => Outcome::Unsent,
        Failure::Refused(_) => Outcome::Absent,
        Failure::Broken(_) => Outcome::Unknown,
    }
}
