//! The platform's list of VMs over HTTP.

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

/// A client of one thread that asks only for what changed.
pub struct Client {
    http: Http,
    tag: RefCell<Option<String>>,
}

/// The body of an answer.
#[derive(Debug, Deserialize)]
struct Listing {
    vms: Vec<Vm>,
}

impl Client {
    /// Takes the address of the list's service, such as `http://10.0.0.1:8080`.
    pub fn new(base: &str) -> Client {
        Client { http: Http::new(base), tag: RefCell::default() }
    }

    async fn fetch(&self) -> Result<Option<Vec<Vm>>, Failure> {
        let request = self.http.client().await?.get(self.http.url("/vms"));
        let tag = self.tag.borrow().clone();
        let request = match tag {
            Some(tag) => request.header(header::IF_NONE_MATCH, tag),
            None => request,
        };
        let response = request.send().await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(Failure::Status(response.status().as_u16()));
        }
        let body = http::body(&response).await?;
        let listing: Listing =
            serde_json::from_slice(&body).map_err(|error| Failure::Malformed(error.to_string()))?;
        let tag = response.headers().get(header::ETAG).and_then(|tag| tag.to_str().ok());
        *self.tag.borrow_mut() = tag.map(str::to_owned);
        Ok(Some(listing.vms))
    }
}

impl Vms for Client {
    fn list(&self) -> LocalBoxFuture<'_, Result<Option<Vec<Vm>>, Error>> {
        async { http::within(self.fetch()).await.map_err(error) }.boxed_local()
    }
}

fn error(failure: Failure) -> Error {
    match failure {
        Failure::Unsent(cause) | Failure::Cut(cause) => Error::Down(cause),
        Failure::Status(status) => Error::Down(format!("status {status}")),
        Failure::Malformed(cause) => Error::Protocol(cause),
    }
}
