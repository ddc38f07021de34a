//! What entries send over HTTP.

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

/// The longest body that is read of a caller without the fleet's key.
const KEYLESS_BYTES: usize = 16 * 1024;

/// How long that body may take.
const KEYLESS_TIME: Duration = Duration::from_millis(500);

/// An entry that takes no frame for this long is taken to be gone.
const READ_STALL: Duration = Duration::from_secs(10);

/// Takes an attempt and answers it in frames.
pub(crate) async fn attempt(
    request: web::HttpRequest,
    payload: web::types::Payload,
    worker: web::types::State<Rc<Worker>>,
) -> HttpResponse {
    let attempt = match message(&request, payload, &worker, codec::decode_attempt).await {
        Ok(attempt) => attempt,
        Err(problem) => return refuse(&problem),
    };
    (worker.notice)(&attempt.stamp);
    let (writer, frames) = Writer::new(&attempt, READ_STALL);
    let token = worker.shared.flight.token();
    ntex::rt::spawn(run::run(Rc::clone(&worker), attempt, writer));
    HttpResponse::Ok().content_type(codec::CONTENT_TYPE).streaming(Body::new(frames, token))
}

/// Ends an attempt whose caller went away.
pub(crate) async fn cancel(
    request: web::HttpRequest,
    payload: web::types::Payload,
    worker: web::types::State<Rc<Worker>>,
) -> HttpResponse {
    let cancel = match message(&request, payload, &worker, codec::decode_cancel).await {
        Ok(cancel) => cancel,
        Err(problem) => return refuse(&problem),
    };
    (worker.notice)(&cancel.stamp);
    worker.shared.answers.cancel((cancel.request, cancel.attempt));
    HttpResponse::NoContent().finish()
}

/// Takes notes of chats of this home that lie elsewhere.
pub(crate) async fn notes(
    request: web::HttpRequest,
    payload: web::types::Payload,
    worker: web::types::State<Rc<Worker>>,
) -> HttpResponse {
    let notes = match message(&request, payload, &worker, codec::decode_notes).await {
        Ok(notes) => notes,
        Err(problem) => return refuse(&problem),
    };
    (worker.notice)(&notes.stamp);
    homes::note(&worker, &notes);
    HttpResponse::NoContent().finish()
}

/// A message from a process that shows the fleet's key.
async fn message<T>(
    request: &web::HttpRequest,
    payload: web::types::Payload,
    worker: &Worker,
    decode: fn(&[u8]) -> Result<T, codec::Error>,
) -> Result<T, Problem> {
    let bytes = body(request, payload, worker).await?;
    decode(&bytes).map_err(|error| foreign(&error.to_string()))
}

/// The body of a message from a process that shows the fleet's key.
async fn body(
    request: &web::HttpRequest,
    payload: web::types::Payload,
    worker: &Worker,
) -> Result<Vec<u8>, Problem> {
    let shown = request.headers().get(key::HEADER).map(|header| header.as_bytes());
    if !worker.key.is_shown(shown) {
        // The server closes a connection whose body was not read, and the refusal is lost.
        let _ = timeout(KEYLESS_TIME, read(payload, KEYLESS_BYTES)).await;
        return Err(keyless());
    }
    read(payload, worker.body_bytes).await
}

async fn read(mut payload: web::types::Payload, limit: usize) -> Result<Vec<u8>, Problem> {
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

fn keyless() -> Problem {
    let status = StatusCode::UNAUTHORIZED.as_u16();
    let detail = "attempts need the fleet's peer key: callers ask an entry instead";
    Problem::new("foreign", "foreign sender", status, detail)
}

fn too_large(limit: usize) -> Problem {
    let status = StatusCode::PAYLOAD_TOO_LARGE.as_u16();
    let detail = format!("the body has more than {limit} bytes: send a shorter request");
    Problem::new("too-large", "body too large", status, detail)
}

fn refuse(problem: &Problem) -> HttpResponse {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_REQUEST);
    let body = serde_json::to_string(problem).unwrap_or_default();
    HttpResponse::build(status).content_type(problem::CONTENT_TYPE).body(body)
}
