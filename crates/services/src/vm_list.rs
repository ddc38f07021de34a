//! The HTTP client of the platform's VM list.

use std::cell::RefCell;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ntex::http::StatusCode;
use ntex::http::header;
use serde::Deserialize;

use crate::Vms;
use crate::failure::Failure;
use crate::http;
use crate::http::Http;
use crate::vms::Error;
use crate::vms::Vm;

/// A client of the VM list, local to a thread. It sends the last ETag, so that an
/// unchanged list is not sent again.
pub struct Client {
    http: Http,
    etag: RefCell<Option<String>>,
}

/// The JSON body of an answer.
#[derive(Debug, Deserialize)]
struct Listing {
    vms: Vec<Vm>,
}

impl Client {
    /// Returns a client of the service at an address such as `http://10.0.0.1:8080`.
    pub fn new(base: &str) -> Client {
        Client { http: Http::new(base), etag: RefCell::default() }
    }

    async fn fetch(&self) -> Result<Option<Vec<Vm>>, Failure> {
        let request = self.http.client().await?.get(self.http.url("/vms"));
        let etag = self.etag.borrow().clone();
        let request = match etag {
            Some(etag) => request.header(header::IF_NONE_MATCH, etag),
            None => request,
        };
        let response = request.send().await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(Failure::Status(response.status().as_u16()));
        }
        let body = http::read_body(&response).await?;
        let listing: Listing =
            serde_json::from_slice(&body).map_err(|error| Failure::Malformed(error.to_string()))?;
        let etag = response.headers().get(header::ETAG).and_then(|etag| etag.to_str().ok());
        *self.etag.borrow_mut() = etag.map(str::to_owned);
        Ok(Some(listing.vms))
    }
}

impl Vms for Client {
    fn list(&self) -> LocalBoxFuture<'_, Result<Option<Vec<Vm>>, Error>> {
        async { http::with_timeout(self.fetch()).await.map_err(to_error) }.boxed_local()
    }
}

fn to_error(failure: Failure) -> Error {
    match failure {
        Failure::Unsent(cause) | Failure::Cut(cause) => Error::Down(cause),
        Failure::Status(status) => Error::Down(format!("status {status}")),
        Failure::Malformed(cause) => Error::Protocol(cause),
    }
}
