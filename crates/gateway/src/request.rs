//! A client's request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::header::CONTENT_LENGTH;
use http_body_util::Full;
use policy::origin;
use policy::origin::StreamId;
use policy::quarantine::PartId;
use policy::quarantine::Suspect;
use route::Account;
use route::Dialect;
use route::Metadata;
use route::Rule;
use route::Version;
use route::dialect::Forwarding;
use route::rule::Kind;
use tokio::time::Instant;

use crate::criteria::Choice;
use crate::memory::Held;

/// A client's request with its whole body, its route and its deadline.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: Method,
    /// Path and query exactly as the client sent them.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Memory that the body takes.
    pub(crate) _held: Held,
    /// Hash by which it is known when it comes again.
    pub(crate) content: PartId,
    /// What it may be blamed for if endpoints crash.
    pub(crate) suspect: Suspect,
    pub(crate) metadata: Metadata,
    pub(crate) rule: Arc<Rule>,
    pub(crate) service: Arc<str>,
    pub(crate) account: Option<Arc<Account>>,
    /// Version of the configuration that its route was taken from.
    pub(crate) version: Version,
    pub(crate) start: Instant,
    /// The client no longer needs a response after this time.
    pub(crate) deadline: Instant,
}

impl Request {
    /// Returns its id for logs; `-` if the client sent none.
    pub(crate) fn id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or("-")
    }

    /// Returns the name of its client account for logs and metrics; `-` if it has none.
    pub(crate) fn account_name(&self) -> &str {
        self.account.as_ref().map_or("-", |account| &account.name)
    }

    /// Returns the parts of its prompt that other requests may share, for logs.
    pub(crate) fn part_names(&self) -> String {
        let names = self.metadata.shared_parts().iter().map(|part| format!("{:x}", part.id));
        names.collect::<Vec<String>>().join(",")
    }

    /// Whether its response is a stream that may go on at another endpoint.
    pub(crate) fn is_resumable(&self) -> bool {
        matches!(self.rule.kind, Kind::Stream { is_resumable: true })
    }

    /// Returns the id of its stream, also if that began with another request of the client; `None`
    /// if the requests have no ids.
    pub(crate) fn stream_id(&self) -> Option<StreamId> {
        let Metadata { id, resumes, last_event, .. } = &self.metadata;
        let first = if last_event.is_some() { resumes } else { id };
        first.as_deref().map(origin::stream_id)
    }

    /// Returns its rank: that of its account takes precedence over that of its route.
    pub(crate) fn rank(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.rank);
        account.unwrap_or(self.rule.rank)
    }

    /// Returns the time that is left until its deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the HTTP request to send to the chosen endpoint.
    ///
    /// # Errors
    ///
    /// The request target is not a valid URI.
    pub(crate) fn encode(
        &self,
        dialect: &dyn Dialect,
        choice: &Choice,
        last_event: Option<u64>,
    ) -> Result<link::Request, http::Error> {
        let forwarding = Forwarding {
            endpoint: &choice.endpoint.id,
            time_left: self.time_left(),
            account: self.account.as_ref().map(|account| &*account.name),
            rank: self.rank(),
            last_event,
            copy_from: choice.copy_from,
        };
        let mut headers = self.headers.clone();
        dialect.rewrite_headers(&mut headers, &forwarding);
        // The body is buffered, so one that arrived chunked is sent with its length.
        headers.remove(CONTENT_LENGTH);
        if !self.body.is_empty() {
            headers.insert(CONTENT_LENGTH, self.body.len().into());
        }
        let mut request = http::Request::builder()
            .method(self.method.clone())
            .uri(&self.target)
            .body(Full::new(self.body.clone()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }
}
