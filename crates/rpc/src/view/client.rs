//! Client of calls between gateways.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::WsClient;
use policy::exchange::Report;
use policy::origin::Segment;
use policy::rate_limit;
use policy::rate_limit::Usage;
use serde::de::DeserializeOwned;
use tokio::time;

use crate::Error;
use crate::limit;
use crate::packet;
use crate::pool;
use crate::view::Answer;
use crate::view::Attestation;
use crate::view::Cursor;
use crate::view::Delta;
use crate::view::Loads;
use crate::view::Message;
use crate::view::Pledge;
use crate::view::ViewClient;

/// Asks a peer for snapshots that are newer than what this process knows.
///
/// Connections aren't kept open, because peers are asked only while the key-value
/// service refuses this process.
///
/// # Errors
///
/// [`Error::Unreachable`] if the peer can't be reached, and [`Error::Refused`] if it
/// refused the call or its answer is malformed.
pub async fn ask(peer: SocketAddr, known: &[Cursor]) -> Result<Answer, Error> {
    let client = Client::connect(peer, limit::CONNECT_TIMEOUT).await?;
    let answer = client.client.newer(packet::encode(&known)).await;
    let answer = answer.map_err(|error| pool::into_error(peer, error))?;
    pool::decode(peer, &answer)
}

/// An open connection to a peer.
#[derive(Debug)]
pub struct Client {
    peer: SocketAddr,
    client: WsClient,
}

impl Client {
    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if that fails or takes longer than `connect_timeout`.
    pub async fn connect(peer: SocketAddr, connect_timeout: Duration) -> Result<Client, Error> {
        let builder = pool::client_builder().connection_timeout(connect_timeout);
        let client = builder.build(format!("ws://{peer}")).await;
        let client = client.map_err(|error| Error::Unreachable(peer, error.to_string()))?;
        Ok(Client { peer, client })
    }

    /// Whether calls can still be made.
    pub fn is_connected(&self) -> bool {
        self.client.is_connected()
    }

    /// Asks for the changes after a version, and waits for the first one no longer than `wait`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no answer came within `wait` and `answer_timeout`, and
    /// [`Error::Refused`] if the peer refused the call or its answer is malformed.
    pub async fn changes(
        &self,
        after: &Cursor,
        wait: Duration,
        answer_timeout: Duration,
    ) -> Result<Delta, Error> {
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let call = self.client.changes(packet::encode(after), wait_ms);
        self.decode(time::timeout(wait + answer_timeout, call).await)
    }

    /// Reports loads to a peer that adds them up, and returns those of all others.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no answer came within `answer_timeout`, and
    /// [`Error::Refused`] if the peer refused the call or its answer is malformed.
    pub async fn report(
        &self,
        report: &Message<Report, rate_limit::Report>,
        answer_timeout: Duration,
    ) -> Result<Message<Loads, Usage>, Error> {
        let call = self.client.report(report.encode());
        let answer = self.text(time::timeout(answer_timeout, call).await)?;
        let message: Message<Loads, Usage> = self.message(&answer)?;
        if !message.loads.sheet.is_valid() || !message.usage.is_valid() {
            return Err(Error::Refused(self.peer, "its rows are not in order".to_owned()));
        }
        Ok(message)
    }

    /// Exchanges reports with a peer to which others report as well.
    ///
    /// # Errors
    ///
    /// As for [`Client::report`].
    pub async fn swap(
        &self,
        report: &Message<Report, rate_limit::Report>,
        answer_timeout: Duration,
    ) -> Result<Message<Report, rate_limit::Report>, Error> {
        let call = self.client.swap(report.encode());
        let answer = self.text(time::timeout(answer_timeout, call).await)?;
        let message: Message<Report, rate_limit::Report> = self.message(&answer)?;
        if !message.usage.own.is_valid() || !message.usage.members.is_valid() {
            return Err(Error::Refused(self.peer, "its rows are not in order".to_owned()));
        }
        Ok(message)
    }

    /// Replicates streams to the peer. The caller limits the time.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the peer can't be reached, and [`Error::Refused`] if it refused the
    /// call, as builds without it do.
    pub async fn replicate(&self, streams: &Segment) -> Result<(), Error> {
        let called = self.client.replicate(packet::encode(streams)).await;
        called.map_err(|error| pool::into_error(self.peer, error))
    }

    /// Replicates streams to the peer that this process can't store, so that the peer does. The caller
    /// limits the time.
    ///
    /// # Errors
    ///
    /// As for [`Client::replicate`].
    pub async fn adopt(&self, streams: &Segment) -> Result<(), Error> {
        let called = self.client.adopt(packet::encode(streams)).await;
        called.map_err(|error| pool::into_error(self.peer, error))
    }

    /// Has the peer store streams that this process can't store, and returns what it answers for them.
    ///
    /// # Errors
    ///
    /// As for [`Client::attest`], of which builds without it refuse the call.
    pub async fn persist(
        &self,
        streams: &Segment,
        answer_timeout: Duration,
    ) -> Result<Pledge, Error> {
        let call = self.client.persist(packet::encode(streams));
        self.decode(time::timeout(answer_timeout, call).await)
    }

    /// Returns what the peer says of streams. Earlier builds tell what they know, and not who they are.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no answer came within `answer_timeout`, and [`Error::Refused`] if the
    /// peer refused the call, or its answer is malformed.
    pub async fn attest(
        &self,
        asked: &Segment,
        answer_timeout: Duration,
    ) -> Result<Attestation, Error> {
        let asked = packet::encode(asked);
        let call = self.client.attest(asked.clone());
        let attestation = match self.decode(time::timeout(answer_timeout, call).await) {
            Err(Error::Refused(..)) => {
                let call = self.client.look_up(asked);
                let streams = self.decode(time::timeout(answer_timeout, call).await)?;
                Attestation { streams, ..Attestation::default() }
            }
            answer => answer?,
        };
        if !attestation.streams.is_valid() {
            return Err(Error::Refused(self.peer, "the streams are too many".to_owned()));
        }
        Ok(attestation)
    }

    /// Decodes a message of the exchange of loads.
    fn message<T, U>(&self, answer: &str) -> Result<Message<T, U>, Error>
    where
        T: DeserializeOwned,
        U: DeserializeOwned + Default,
    {
        let message = Message::decode(answer).filter(|message| {
            let Message { crashes, streams, observations, .. } = message;
            let is_observed = observations.own.is_valid() && observations.members.is_valid();
            crashes.is_valid() && streams.is_valid() && is_observed
        });
        message.ok_or_else(|| Error::Refused(self.peer, "its answer is malformed".to_owned()))
    }

    /// Decodes the answer to a call, if it came in time.
    fn decode<T: DeserializeOwned>(
        &self,
        answer: Result<Result<String, ClientError>, time::error::Elapsed>,
    ) -> Result<T, Error> {
        pool::decode(self.peer, &self.text(answer)?)
    }

    /// Returns the text of the answer to a call, if it came in time.
    fn text(
        &self,
        answer: Result<Result<String, ClientError>, time::error::Elapsed>,
    ) -> Result<String, Error> {
        let Ok(answer) = answer else {
            return Err(Error::Unreachable(self.peer, "no answer in time".to_owned()));
        };
        answer.map_err(|error| pool::into_error(self.peer, error))
    }
}
