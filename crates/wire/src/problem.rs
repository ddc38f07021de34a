//! Problem documents (RFC 9457), the body of every refusal to a caller.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::refusal::Ran;

/// Content type of a problem document.
pub const CONTENT_TYPE: &str = "application/problem+json";

/// A refusal in the form that is sent to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// URN of the kind of problem; `docs/ERRORS.md` lists them.
    #[serde(rename = "type")]
    pub kind: String,
    /// Title of the kind of problem.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What happened and what to do about it.
    pub detail: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Seconds after which a retry may succeed, the same as `Retry-After`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// Creates the problem of a request that did not run.
    pub fn new(slug: &str, title: &str, status: u16, detail: impl Into<String>) -> Problem {
        Problem {
            kind: format!("urn:lycheeknot:problem:{slug}"),
            title: title.to_owned(),
            status,
            detail: detail.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Returns the problem for a request that may have run.
    pub fn may_have_run(mut self) -> Problem {
        self.ran = Ran::Unknown;
        self
    }

    /// Returns the problem with a time after which to retry, rounded up to whole seconds
    /// and at least one.
    pub fn with_retry_after(mut self, wait: Duration) -> Problem {
        self.retry_after = Some(wait.as_millis().div_ceil(1000).max(1) as u64);
        self
    }
}
