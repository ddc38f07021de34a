//! The errors that the key-value service answers with.

use displaydoc::Display;
use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;

use crate::key_value::message::Item;

/// The reason why a call failed. The doc comments are the messages on the wire.
#[derive(Clone, Debug, Display)]
pub(crate) enum Error {
    /// the call can't be read: {0}
    Malformed(String),
    /// no such key
    NoKey,
    /// no such lease
    NoLease,
    /// the history asked for is gone
    Compacted,
    /// too many calls
    RateLimited,
    /// the service is away
    Unavailable,
    /// a condition does not hold
    Conflict(Vec<Item>),
}

/// The body of an error response.
#[derive(Serialize)]
struct Body {
    error: String,
    /// The current items of the keys named by a failed condition.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    entries: Vec<Item>,
}

impl Error {
    /// Returns the response with the error's status, message and items.
    pub(crate) fn into_response(self) -> HttpResponse {
        let status = self.status();
        let error = self.to_string();
        let entries = match self {
            Error::Conflict(entries) => entries,
            _ => Vec::new(),
        };
        HttpResponse::build(status).json(&Body { error, entries })
    }

    fn status(&self) -> StatusCode {
        match self {
            Error::Malformed(_) => StatusCode::BAD_REQUEST,
            Error::NoKey | Error::NoLease => StatusCode::NOT_FOUND,
            Error::Compacted => StatusCode::GONE,
            Error::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Error::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Error::Conflict(_) => StatusCode::PRECONDITION_FAILED,
        }
    }
}
