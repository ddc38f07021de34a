//! Orders to a model engine to load and unload models.

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ntex::client;
use serde::Serialize;
use wire::id;

use crate::engine::Error;
use crate::http;

/// A client that sends orders to one engine.
pub trait Orders {
    /// Orders the engine to load a model. The engine answers before it has loaded it.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] for an old fencing token, otherwise see [`Error`].
    fn load<'a>(
        &'a self,
        fence: id::Fence,
        model: &'a str,
    ) -> LocalBoxFuture<'a, Result<(), Error>>;

    /// Orders the engine to unload a model.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] for an old fencing token, otherwise see [`Error`].
    fn unload<'a>(
        &'a self,
        fence: id::Fence,
        model: &'a str,
    ) -> LocalBoxFuture<'a, Result<(), Error>>;
}

/// An HTTP client for orders, local to a worker.
pub struct Client {
    url: String,
    http: client::Client,
}

/// The JSON body of an order.
#[derive(Debug, Serialize)]
struct Body<'a> {
    fence: id::Fence,
    order: &'a str,
    model: &'a str,
}

impl Client {
    /// Returns a client of the engine at an address such as `http://10.0.0.7:8000`.
    ///
    /// # Errors
    ///
    /// [`Error::Down`] if no HTTP client can be built.
    pub async fn new(address: &str) -> Result<Client, Error> {
        let url = format!("{}/orders", http::base_url(address));
        Ok(Client { url, http: http::build_client().await? })
    }

    async fn send(&self, body: Body<'_>) -> Result<(), Error> {
        let request = self.http.post(&self.url).timeout(http::CONTROL_TIMEOUT);
        let answer =
            request.send_json(&body).await.map_err(|error| http::classify_error(&error))?;
        match answer.status().is_success() {
            true => Ok(()),
            false => Err(Error::Refused(answer.status().as_u16())),
        }
    }
}

impl Orders for Client {
    fn load<'a>(
        &'a self,
        fence: id::Fence,
        model: &'a str,
    ) -> LocalBoxFuture<'a, Result<(), Error>> {
        self.send(Body { fence, order: "load", model }).boxed_local()
    }

    fn unload<'a>(
        &'a self,
        fence: id::Fence,
        model: &'a str,
    ) -> LocalBoxFuture<'a, Result<(), Error>> {
        self.send(Body { fence, order: "unload", model }).boxed_local()
    }
}
