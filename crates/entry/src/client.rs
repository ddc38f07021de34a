//! The HTTP client for the agents.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream;
use ntex::SharedCfg;
use ntex::client::Client;
use ntex::client::ClientRequest;
use ntex::client::ClientResponse;
use ntex::client::Connector;
use ntex::client::error::ClientError;
use ntex::client::error::ConnectError;
use ntex::http::Payload;
use ntex::http::StatusCode;
use ntex::io::IoConfig;
use ntex::time::Millis;
use ntex::time::Seconds;
use wire::Attempt;
use wire::Cancel;
use wire::Key;
use wire::Notes;
use wire::codec;
use wire::key;

use crate::transport::Factory;
use crate::transport::Fault;
use crate::transport::Frames;
use crate::transport::Transport;

/// Time within which a connection to an agent has to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that idle connections are kept: shorter than the agent's server keeps them,
/// because an attempt sent over a closing connection may or may not have arrived.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(3);

/// Time within which an agent has to accept notes or a cancel.
const MESSAGE_TIMEOUT: Millis = Millis(1000);

/// Limit on open connections: none. The connector also takes 0 as no limit, but then
/// never wakes a request that waits while another connection is being established.
const MAX_CONNECTIONS: usize = usize::MAX;

/// Creates one HTTP client for each worker.
#[derive(Debug, Clone)]
pub struct Http {
    /// The key by which the entry authenticates to agents.
    pub key: Key,
}

impl Factory for Http {
    fn create(&self) -> LocalBoxFuture<'static, io::Result<Rc<dyn Transport>>> {
        let key = self.key.clone();
        Box::pin(async move {
            let io = IoConfig::new().set_connect_timeout(Millis::from(CONNECT_TIMEOUT));
            let connector = Connector::new().limit(MAX_CONNECTIONS).keep_alive(KEEP_ALIVE_TIMEOUT);
            let client = Client::builder()
                .connector::<()>(connector)
                .disable_timeout()
                .disable_redirects()
                .build(SharedCfg::new("agents").add(io))
                .await?;
            Ok(Rc::new(Sender { client, key }) as Rc<dyn Transport>)
        })
    }
}

/// Sends messages to agents over one worker's HTTP client.
struct Sender {
    client: Client,
    key: Key,
}

impl Sender {
    fn post(&self, agent: SocketAddr, path: &str) -> ClientRequest {
        self.client
            .post(format!("http://{agent}{path}"))
            .header(key::HEADER, self.key.bearer())
            .content_type(codec::CONTENT_TYPE)
    }

    /// Sends a message whose response is only a status.
    fn send_message(
        &self,
        agent: SocketAddr,
        path: &str,
        message: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<(), Fault>> {
        let request = self.post(agent, path).timeout(MESSAGE_TIMEOUT);
        Box::pin(async move {
            let response = request.send_body(message).await.map_err(classify)?;
            match response.status().is_success() {
                true => Ok(()),
                false => Err(unexpected_status(&response)),
            }
        })
    }
}

impl Transport for Sender {
    fn send(
        &self,
        agent: SocketAddr,
        attempt: Attempt,
    ) -> LocalBoxFuture<'static, Result<Frames, Fault>> {
        let request = self.post(agent, wire::attempt::PATH);
        Box::pin(async move {
            let response = request.send_body(codec::encode_attempt(&attempt)).await;
            read_frames(response.map_err(classify)?)
        })
    }

    fn note(&self, agent: SocketAddr, notes: Notes) -> LocalBoxFuture<'static, Result<(), Fault>> {
        self.send_message(agent, wire::notes::PATH, codec::encode_notes(&notes))
    }

    fn cancel(
        &self,
        agent: SocketAddr,
        cancel: Cancel,
    ) -> LocalBoxFuture<'static, Result<(), Fault>> {
        self.send_message(agent, wire::cancel::PATH, codec::encode_cancel(&cancel))
    }
}

fn unexpected_status(response: &ClientResponse) -> Fault {
    Fault::Invalid(format!("status {}", response.status().as_u16()))
}

fn read_frames(response: ClientResponse) -> Result<Frames, Fault> {
    if response.status() != StatusCode::OK {
        return Err(unexpected_status(&response));
    }
    let body = Body { payload: response.take_payload(), reader: codec::Reader::default() };
    Ok(stream::unfold(body, next).boxed_local())
}

/// The body of a response, read frame by frame.
struct Body {
    payload: Payload,
    reader: codec::Reader,
}

/// Returns the next frame; `None` at the end of the response's body.
async fn next(mut body: Body) -> Option<(Result<wire::Frame, Fault>, Body)> {
    loop {
        match body.reader.next_frame() {
            Ok(Some(frame)) => return Some((Ok(frame), body)),
            Ok(None) => {}
            Err(error) => return Some((Err(Fault::Invalid(error.to_string())), body)),
        }
        match body.payload.next().await? {
            Ok(bytes) => body.reader.push(&bytes),
            Err(error) => return Some((Err(Fault::Disconnected(error.to_string())), body)),
        }
    }
}

/// Classifies errors by whether the attempt may have been sent.
///
/// The client reports a connection that closed after the attempt was sent as disconnected
/// without a cause, so that error counts as sent.
fn classify(error: ClientError) -> Fault {
    match error {
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            Fault::Disconnected("closed before the answer".to_owned())
        }
        ClientError::Connect(error) => Fault::Connect(error.to_string()),
        error => Fault::Disconnected(error.to_string()),
    }
}
