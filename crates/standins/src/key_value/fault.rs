//! The errors that the service answers with.

use displaydoc::Display;
use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;

use crate::key_value::message::Item;

/// Why a call failed.
#[derive(Clone, Debug, Display)]
pub(crate) enum Fault {
    /// the call can't be read: {0}
    Body(String),
    /// no such key
    NoKey,
    /// no such lease
    NoLease,
    /// the history asked for is gone
    Compacted,
    /// too many calls
    Limited,
    /// the service is away
    Outage,
    /// a condition does not hold
    Conflict(Vec<Item>),
}

#[derive(Serialize)]
struct Body {
    error: String,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    entries: Vec<Item>,
}

impl Fault {
    pub(crate) fn response(self) -> HttpResponse {
        let status = self.status();
        let error = self.to_string();
        let entries = match self {
            Fault::Conflict(entries) => entries,
            _ => Vec::new(),
        };
        HttpResponse::build(status).json(&Body { error, entries })
    }

    fn status(&self) -> StatusCode {
        match self {
            Fault::Body(_) => StatusCode::BAD_REQUEST,
            Fault::NoKey | Fault::NoLease => StatusCode::NOT_FOUND,
            Fault::Compacted => StatusCode::GONE,
            Fault::Limited => StatusCode::TOO_MANY_REQUESTS,
            Fault::Outage => StatusCode::SERVICE_UNAVAILABLE,
            Fault::Conflict(_) => StatusCode::PRECONDITION_FAILED,
        }
    }
}
