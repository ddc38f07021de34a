//! One request of a client.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::header::CONTENT_LENGTH;
use http_body_util::Full;
use route::Account;
use route::Ask;
use route::Dialect;
use route::Rule;
use route::Version;
use route::dialect::Order;
use tokio::time::Instant;

use crate::wish::Choice;

/// One request of a client, read whole.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: Method,
    /// Path and query as they came.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) ask: Ask,
    pub(crate) rule: Arc<Rule>,
    pub(crate) service: Arc<str>,
    pub(crate) account: Option<Arc<Account>>,
    /// The configuration that it is served by.
    pub(crate) version: Version,
    pub(crate) start: Instant,
    /// An answer after this time is of no use.
    pub(crate) deadline: Instant,
}

impl Request {
    /// Its name in logs.
    pub(crate) fn id(&self) -> &str {
        self.ask.id.as_deref().unwrap_or("-")
    }

    /// The client account, as logs and metrics name it.
    pub(crate) fn account_name(&self) -> &str {
        self.account.as_ref().map_or("-", |account| &account.name)
    }

    /// The rank of its work: its account's goes before its route's.
    pub(crate) fn rank(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.rank);
        account.unwrap_or(self.rule.rank)
    }

    /// How long an answer is of use still.
    pub(crate) fn patience(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// What an endpoint is sent.
    pub(crate) fn encode(
        &self,
        dialect: &dyn Dialect,
        choice: &Choice,
        last_event: Option<u64>,
    ) -> Result<link::Request, http::Error> {
        let order = Order {
            endpoint: &choice.endpoint.id,
            patience: self.patience(),
            account: self.account.as_ref().map(|account| &*account.name),
            rank: self.rank(),
            last_event,
            copy_from: choice.copy_from,
        };
        let mut headers = self.headers.clone();
        dialect.address(&mut headers, &order);
        // A chunked body was read whole, so it has a length now.
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
