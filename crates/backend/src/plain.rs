//! The client of plain HTTP services.

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use ntex::client::ClientResponse;
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::http::header::CONTENT_TYPE;
use wire::Work;
use wire::frame::Head;
use wire::frame::Usage;
use wire::work::Call;

use crate::engine::Answer;
use crate::engine::Chunk;
use crate::engine::Engine;
use crate::engine::Error;
use crate::engine::Job;
use crate::http;

/// Statuses by which a service says that it did not run the call and another may.
const REFUSAL_STATUSES: &[StatusCode] =
    &[StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// Header with the key of an idempotent call, for services that check it too.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A client of one plain service, local to a worker.
pub struct Client {
    address: String,
    pools: Vec<String>,
    http: ntex::client::Client,
}

impl Client {
    /// Returns a client of the service at an address; `pools` are those whose calls it takes.
    ///
    /// # Errors
    ///
    /// [`Error::Down`] if no HTTP client can be built.
    pub async fn new(address: &str, mut pools: Vec<String>) -> Result<Client, Error> {
        pools.sort();
        Ok(Client { address: http::base_url(address), pools, http: http::build_client().await? })
    }

    async fn call(&self, call: Call) -> Result<Answer, Error> {
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|_| Error::Refused(StatusCode::METHOD_NOT_ALLOWED.as_u16()))?;
        let has_no_body = method == Method::HEAD;
        let mut request = self.http.request(method, format!("{}{}", self.address, call.path));
        if let Some(content_type) = &call.content_type {
            request = request.set_header(CONTENT_TYPE, content_type.as_str());
        }
        if let Some(key) = &call.key {
            request = request.set_header(IDEMPOTENCY_KEY_HEADER, key.as_str());
        }
        let response =
            request.send_body(call.body).await.map_err(|error| http::classify_error(&error))?;
        // A call with a key always gets the service's own answer: behind a gateway,
        // a busy service may have run the call.
        if call.key.is_none() && REFUSAL_STATUSES.contains(&response.status()) {
            return Err(Error::Refused(response.status().as_u16()));
        }
        if !has_no_body {
            http::check_framing(&response)?;
        }
        Ok(to_answer(response))
    }

    async fn health(&self) -> Result<Vec<String>, Error> {
        let request = self.http.get(format!("{}/health", self.address));
        let response = request.timeout(http::CONTROL_TIMEOUT).send().await;
        let status = response.map_err(|error| http::classify_error(&error))?.status();
        if !status.is_success() {
            return Err(Error::Refused(status.as_u16()));
        }
        Ok(self.pools.clone())
    }
}

impl Engine for Client {
    fn start(&self, job: Job) -> LocalBoxFuture<'_, Result<Answer, Error>> {
        async move {
            match job.work {
                Work::Call(call) => self.call(call).await,
                Work::Chat(_) => Err(Error::Refused(StatusCode::NOT_FOUND.as_u16())),
            }
        }
        .boxed_local()
    }

    fn resume<'a>(
        &'a self,
        _: &'a str,
        _: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<Answer, Error>> {
        async { Err(Error::Cut("a plain answer can't be resumed".to_owned())) }.boxed_local()
    }

    fn cancel<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Result<(), Error>> {
        async { Ok(()) }.boxed_local()
    }

    fn probe(&self) -> LocalBoxFuture<'_, Result<Vec<String>, Error>> {
        self.health().boxed_local()
    }
}

fn to_answer(response: ClientResponse) -> Answer {
    let content_type = response.header(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let head = Head {
        status: response.status().as_u16(),
        content_type: content_type.map(str::to_owned),
        replayed: false,
        handle: None,
    };
    let mut number = 0;
    let body = response.take_payload().map(move |chunk| {
        let chunk = chunk.map_err(|error| Error::Cut(error.to_string()))?;
        number += 1;
        Ok(Chunk::Data(number - 1, Bytes::copy_from_slice(&chunk)))
    });
    // An error ends the stream, so the end follows only a complete body.
    let end = futures_util::stream::iter([Ok(Chunk::End(Usage::default()))]);
    Answer { handle: String::new(), head, chunks: body.chain(end).boxed_local() }
}
