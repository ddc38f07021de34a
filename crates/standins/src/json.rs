//! JSON request bodies and responses.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The body of an error response.
#[derive(Debug, Serialize)]
struct Problem {
    error: String,
}

/// Parses a request body as JSON, whatever its content type says. The error is
/// a 400 response.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpResponse> {
    serde_json::from_slice(body).map_err(|error| {
        problem(StatusCode::BAD_REQUEST, &format!("the body isn't the JSON expected: {error}"))
    })
}

/// Returns a 200 response with `value` as its JSON body.
pub(crate) fn ok<T: Serialize>(value: &T) -> HttpResponse {
    HttpResponse::Ok().json(value)
}

/// Returns a response with `status` and the JSON body `{"error": message}`.
pub(crate) fn problem(status: StatusCode, message: &str) -> HttpResponse {
    HttpResponse::build(status).json(&Problem { error: message.into() })
}
