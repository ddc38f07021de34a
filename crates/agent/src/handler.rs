//! The HTTP handlers of messages from entries.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use ntex::http::StatusCode;
use ntex::web;
use ntex::web::HttpResponse;
use tokio::time::timeout;
use wire::Problem;
use wire::codec;
use wire::key;
use wire::problem;

use crate::body::Body;
use crate::homes;
use crate::run;
use crate::worker::Worker;
use crate::writer::Writer;

/// Bytes of the body that are read from a caller without the fleet's key.
const UNAUTHENTICATED_MAX_BYTES: usize = 16 * 1024;

/// Time in which the body of a caller without the fleet's key is read.
const UNAUTHENTICATED_TIMEOUT: Duration = Duration::from_millis(500);

/// An entry that reads no frame for this long is treated as gone.
const READER_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles an attempt: runs it and streams its answer as frames.
pub(crate) async fn attempt(
    request: web::HttpRequest,
    payload: web::types::Payload,
    worker: web::types::State<Rc<Worker>>,
) -> HttpResponse {
    let attempt = match read_message(&request, payload, &worker, codec::decode_attempt).await {
        Ok(attempt) => attempt,
        Err(problem) => return problem_response(&problem),
    };
    (worker.on_stamp)(&attempt.stamp);
    let (writer, frames) = Writer::new(&attempt, READER_STALL_TIMEOUT);
    let guard = worker.shared.flight.guard();
    ntex::rt::spawn(run::run(Rc::clone(&worker), attempt, writer));
    HttpResponse::Ok().content_type(codec::CONTENT_TYPE).streaming(Body::new(frames, guard))
}

/// Handles a cancel: ends an attempt whose caller went away.
pub(crate) async fn cancel(
    request: web::HttpRequest,
    payload: web::types::Payload,
    worker: web::types::State<Rc<Worker>>,
) -> HttpResponse {
    let cancel = match read_message(&request, payload, &worker, codec::decode_cancel).await {
        Ok(cancel) => cancel,
        Err(problem) => return problem_response(&problem),
    };
    (worker.on_stamp)(&cancel.stamp);
    worker.shared.answers.cancel((cancel.request, cancel.attempt));
    HttpResponse::NoContent().finish()
}

/// Handles notes: records which chats that have their home here were placed at other engines.
pub(crate) async fn notes(
    request: web::HttpRequest,
    payload: web::types::Payload,
    worker: web::types::State<Rc<Worker>>,
) -> HttpResponse {
    let notes = match read_message(&request, payload, &worker, codec::decode_notes).await {
        Ok(notes) => notes,
        Err(problem) => return problem_response(&problem),
    };
    (worker.on_stamp)(&notes.stamp);
    homes::record_notes(&worker, &notes);
    HttpResponse::NoContent().finish()
}

/// Reads and decodes a message whose sender shows the fleet's key.
async fn read_message<T>(
    request: &web::HttpRequest,
    payload: web::types::Payload,
    worker: &Worker,
    decode: fn(&[u8]) -> Result<T, codec::Error>,
) -> Result<T, Problem> {
    let bytes = read_body(request, payload, worker).await?;
    decode(&bytes).map_err(|error| foreign(&error.to_string()))
}

/// Reads the body of a message whose sender shows the fleet's key.
async fn read_body(
    request: &web::HttpRequest,
    payload: web::types::Payload,
    worker: &Worker,
) -> Result<Vec<u8>, Problem> {
    let shown = request.headers().get(key::HEADER).map(|header| header.as_bytes());
    if !worker.key.is_shown(shown) {
        // Without reading the body first the server would close the connection, and
        // the refusal would be lost.
        let _ = timeout(UNAUTHENTICATED_TIMEOUT, read_payload(payload, UNAUTHENTICATED_MAX_BYTES))
            .await;
        return Err(unauthenticated());
    }
    read_payload(payload, worker.body_bytes).await
}

async fn read_payload(mut payload: web::types::Payload, limit: usize) -> Result<Vec<u8>, Problem> {
    let mut bytes = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| foreign("the body broke off: send it whole"))?;
        if bytes.len() + chunk.len() > limit {
            return Err(too_large(limit));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

fn foreign(detail: &str) -> Problem {
    Problem::new("foreign", "malformed message", StatusCode::BAD_REQUEST.as_u16(), detail)
}

fn unauthenticated() -> Problem {
    let status = StatusCode::UNAUTHORIZED.as_u16();
    let detail = "attempts need the fleet's peer key: callers ask an entry instead";
    Problem::new("foreign", "foreign sender", status, detail)
}

fn too_large(limit: usize) -> Problem {
    let status = StatusCode::PAYLOAD_TOO_LARGE.as_u16();
    let detail = format!("the body has more than {limit} bytes: send a shorter request");
    Problem::new("too-large", "body too large", status, detail)
}

fn problem_response(problem: &Problem) -> HttpResponse {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_REQUEST);
    let body = serde_json::to_string(problem).unwrap_or_default();
    HttpResponse::build(status).content_type(problem::CONTENT_TYPE).body(body)
}
