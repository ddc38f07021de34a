//! Reads callers' bodies, bounded in size and time.

use std::time::Duration;

use futures_util::StreamExt;
use ntex::http::HeaderMap;
use ntex::http::header::CONTENT_LENGTH;
use ntex::web::HttpResponse;
use ntex::web::types::Payload;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use wire::Problem;

use crate::context::Context;
use crate::problems;
use crate::reply;

/// Lowest rate at which a body may arrive: its deadline is the header timeout, plus one
/// second for each `MIN_BYTES_PER_SECOND` bytes received.
const MIN_BYTES_PER_SECOND: usize = 16 * 1024;

/// Largest part of an unwanted body that is read, in bytes.
const DRAIN_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Time for which an unwanted body is read.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads a whole body.
///
/// # Errors
///
/// The body is too large, too slow or incomplete; reading stops at once.
pub(crate) async fn read(
    context: &Context,
    headers: &HeaderMap,
    payload: &mut Payload,
) -> Result<Vec<u8>, Problem> {
    let limit = context.body_bytes;
    if content_length(headers).is_some_and(|length| length > limit) {
        return Err(problems::body(limit));
    }
    let start = Instant::now() + context.header_timeout;
    let mut body = Vec::new();
    loop {
        let deadline = start + Duration::from_secs((body.len() / MIN_BYTES_PER_SECOND) as u64);
        let chunk = timeout_at(deadline, payload.next()).await.map_err(|_| problems::slow())?;
        let Some(chunk) = chunk else { return Ok(body) };
        let chunk = chunk.map_err(|error| problems::broken(&error.to_string()))?;
        if body.len() + chunk.len() > limit {
            return Err(problems::body(limit));
        }
        body.extend_from_slice(&chunk);
    }
}

/// Returns the response to a request, or that of its problem.
///
/// The rest of a refused body is read within bounds: a server that closes while its
/// caller still sends resets the connection, and the caller never sees the refusal.
pub(crate) async fn finish(
    answer: Result<HttpResponse, Problem>,
    mut payload: Payload,
) -> HttpResponse {
    match answer {
        Ok(response) => response,
        Err(problem) => {
            drain(&mut payload).await;
            reply::refuse(&problem)
        }
    }
}

async fn drain(payload: &mut Payload) {
    let rest = async {
        let mut bytes = 0;
        while let Some(Ok(chunk)) = payload.next().await {
            bytes += chunk.len();
            if bytes > DRAIN_MAX_BYTES {
                return;
            }
        }
    };
    // A caller that still sends after that may not see the refusal.
    let _ = timeout(DRAIN_TIMEOUT, rest).await;
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
