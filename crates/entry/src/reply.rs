//! Builds responses to callers.

use ntex::http::StatusCode;
use ntex::http::header::CONTENT_TYPE;
use ntex::http::header::RETRY_AFTER;
use ntex::web::HttpResponse;
use serde::Serialize;
use wire::Problem;
use wire::problem;

/// The content type of JSON answers.
const JSON_CONTENT_TYPE: &str = "application/json";

/// Returns a response with a problem document; the connection is closed after it if the
/// problem leaves bytes unread or the entry is stopping.
pub(crate) fn refuse(problem: &Problem) -> HttpResponse {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.set_header(CONTENT_TYPE, problem::CONTENT_TYPE);
    if let Some(seconds) = problem.retry_after {
        response.set_header(RETRY_AFTER, seconds);
    }
    if has_to_close(problem) {
        response.force_close();
    }
    response.body(encode(problem))
}

/// Returns a response with a JSON body.
pub(crate) fn json(value: &impl Serialize) -> HttpResponse {
    HttpResponse::Ok().content_type(JSON_CONTENT_TYPE).body(encode(value))
}

/// Encodes a value as JSON. The types it is used for always can be encoded.
pub(crate) fn encode(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn has_to_close(problem: &Problem) -> bool {
    let kind = problem.kind.rsplit(':').next().unwrap_or_default();
    matches!(kind, "body" | "slow" | "broken" | "stopping")
}
