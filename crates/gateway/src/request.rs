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
use route::dialect::Order;
use tokio::time::Instant;

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
    pub(crate) start: Instant,
    /// An answer after this time is of no use.
    pub(crate) deadline: Instant,
}

impl Request {
    /// Its name in logs.
    pub(crate) fn id(&self) -> &str {
        self.ask.id.as_deref().unwrap_or("-")
    }

    /// How long an answer is of use still.
    pub(crate) fn patience(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// What an endpoint is sent.
    pub(crate) fn encode(
        &self,
        dialect: &dyn Dialect,
        endpoint: &str,
        last_event: Option<u64>,
    ) -> Result<link::Request, http::Error> {
        let account_rank = self.account.as_ref().and_then(|account| account.rank);
        let order = Order {
            endpoint,
            patience: self.patience(),
            account: self.account.as_ref().map(|account| &*account.name),
            rank: account_rank.unwrap_or(self.rule.rank),
            last_event,
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
