//! An HTTP client for stand-ins, daemons and callers.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::ClientRequest;
use ntex::client::ClientResponse;
use ntex::client::Connector;
use ntex::http::Method;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use ntex::time::Millis;
use ntex::time::Seconds;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Timeout for the head of an answer, and again for its body.
const ANSWER_TIMEOUT: Millis = Millis(60_000);
/// Timeout for the head of an answer to requests other than those of callers.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest body that is read, in bytes.
const BODY_MAX_BYTES: usize = 16 << 20;
/// Largest number of concurrent connections. It is not 0, for no limit: the pool would
/// then never wake a request that waits for a connection being opened to the same server.
const MAX_CONNECTIONS: usize = usize::MAX;
/// Time after which idle connections are closed, before servers close them.
const KEEP_ALIVE: Seconds = Seconds(3);

/// Runs a future of this crate to completion on a thread that has no runtime.
pub fn block_on<F>(future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    System::new("fleet", DefaultRuntime).block_on(future)
}

/// An HTTP client for stand-ins, daemons and callers.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Rc<ntex::client::Client>,
}

impl Client {
    /// Creates a client for this thread, without a limit on connections.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if it can't be built.
    pub async fn new() -> Result<Client, Error> {
        let inner = ntex::client::Client::builder()
            .connector::<()>(Connector::default().limit(MAX_CONNECTIONS).keep_alive(KEEP_ALIVE))
            .response_timeout(ANSWER_TIMEOUT)
            .response_payload_limit(BODY_MAX_BYTES)
            .response_payload_timeout(ANSWER_TIMEOUT)
            .disable_redirects()
            .build(SharedCfg::default())
            .await;
        let inner = inner.map_err(|error| failure("the HTTP client", &error))?;
        Ok(Client { inner: Rc::new(inner) })
    }

    /// Returns a request without headers and body.
    pub fn request(&self, method: Method, url: &str) -> ClientRequest {
        self.inner.request(method, url)
    }

    /// Gets a URL and returns the body as text.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if no answer arrives in time or its body isn't UTF-8.
    pub async fn text(&self, url: &str) -> Result<String, Error> {
        let response = head(self.request(Method::GET, url).send(), url).await?;
        body(&response).await.map_err(|reason| failure(url, &reason))
    }

    /// Gets a URL and decodes the JSON body.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if no answer arrives in time or its body can't be decoded.
    pub async fn json<T: DeserializeOwned>(&self, url: &str) -> Result<T, Error> {
        let text = self.text(url).await?;
        serde_json::from_str(&text).map_err(|error| failure(url, &error))
    }

    /// Gets a URL and returns the HTTP status.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if no answer arrives in time.
    pub async fn status(&self, url: &str) -> Result<u16, Error> {
        let response = head(self.request(Method::GET, url).send(), url).await?;
        Ok(response.status().as_u16())
    }

    /// Puts a JSON value, such as the VM list of a stand-in.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if no answer arrives in time or its status is no success.
    pub async fn put<T: Serialize>(&self, url: &str, value: &T) -> Result<(), Error> {
        self.send(Method::PUT, url, value).await
    }

    /// Posts a JSON value, such as the faults of a stand-in.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if no answer arrives in time or its status is no success.
    pub async fn post<T: Serialize>(&self, url: &str, value: &T) -> Result<(), Error> {
        self.send(Method::POST, url, value).await
    }

    async fn send<T: Serialize>(&self, method: Method, url: &str, value: &T) -> Result<(), Error> {
        let text = serde_json::to_string(value).unwrap_or_default();
        let request = self.request(method, url).content_type("application/json");
        let response = head(request.send_body(text), url).await?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(failure(url, &format!("status {}", response.status().as_u16())))
    }
}

/// Reads a whole body as text.
pub(crate) async fn body(response: &ClientResponse) -> Result<String, String> {
    let bytes = response.body().await.map_err(|error| error.to_string())?;
    String::from_utf8(bytes.to_vec()).map_err(|error| error.to_string())
}

async fn head<E: std::fmt::Display>(
    request: impl Future<Output = Result<ClientResponse, E>>,
    url: &str,
) -> Result<ClientResponse, Error> {
    let answer = tokio::time::timeout(HEAD_TIMEOUT, request).await;
    let answer = answer.map_err(|_| failure(url, &"it took too long"))?;
    answer.map_err(|error| failure(url, &error))
}

fn failure(url: &str, reason: &dyn std::fmt::Display) -> Error {
    Error::Http { url: url.to_owned(), reason: reason.to_string() }
}
