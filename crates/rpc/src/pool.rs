//! Client of control calls, over connections that are kept open.

use std::net::SocketAddr;
use std::sync::Arc;

use burn::Sheet;
use config::Document;
use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use wire::Member;
use wire::Stamp;
use wire::id;

use crate::Difference;
use crate::Error;
use crate::Key;
use crate::Packet;
use crate::Status;
use crate::control::ControlClient;
use crate::limit;
use crate::packet;

/// A pool of open connections to peers that evicts the least recently used one.
#[derive(Debug)]
pub struct Pool {
    key: Key,
    max_connections: usize,
    /// Least recently used first.
    peers: Mutex<Vec<Peer>>,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    client: Arc<WsClient>,
}

impl Pool {
    /// Creates a pool of at most `max_connections` connections, and at least one.
    pub fn new(key: Key, max_connections: usize) -> Pool {
        Pool { key, max_connections, peers: Mutex::default() }
    }

    /// Sends a packet to a peer and returns the peer's.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no answer came, [`Error::Refused`] if the peer answered
    /// with an error or its answer is malformed.
    pub async fn beat(&self, address: SocketAddr, packet: &Packet) -> Result<Packet, Error> {
        let client = self.client(address).await?;
        let answer = client.beat(packet::encode(packet)).await;
        decode(address, &answer.map_err(|error| self.handle_error(address, error))?)
    }

    /// Asks a peer for the hashes of its members in the buckets whose hash differs.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no answer came, [`Error::Refused`] if the peer answered
    /// with an error or its answer is malformed.
    pub async fn hashes(
        &self,
        address: SocketAddr,
        stamp: Stamp,
        buckets: &[u32],
    ) -> Result<Vec<u32>, Error> {
        let client = self.client(address).await?;
        let answer = client.hashes(stamp, packet::encode(&buckets)).await;
        decode(address, &answer.map_err(|error| self.handle_error(address, error))?)
    }

    /// Asks a peer for the members whose descriptions have these hashes.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no answer came, [`Error::Refused`] if the peer answered
    /// with an error or its answer is malformed.
    pub async fn described(
        &self,
        address: SocketAddr,
        stamp: Stamp,
        hashes: &[u32],
    ) -> Result<Vec<Member>, Error> {
        let client = self.client(address).await?;
        let answer = client.described(stamp, packet::encode(&hashes)).await;
        decode(address, &answer.map_err(|error| self.handle_error(address, error))?)
    }

    /// Asks a peer for the configuration in force there if its revision is above `after`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no answer came, [`Error::Refused`] if the peer answered
    /// with an error or its answer is malformed.
    pub async fn document(
        &self,
        address: SocketAddr,
        stamp: Stamp,
        after: id::Revision,
    ) -> Result<Option<Document>, Error> {
        let client = self.client(address).await?;
        let answer = client.document(stamp, after).await;
        answer
            .inspect(|document| packet::record_json("in", document))
            .map_err(|error| self.handle_error(address, error))
    }

    /// Asks a peer for its stamp, which holds the revision in force there.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no answer came, [`Error::Refused`] if the peer answered
    /// with an error or its answer is malformed.
    pub async fn stamp(&self, address: SocketAddr, stamp: Stamp) -> Result<Stamp, Error> {
        let client = self.client(address).await?;
        let answer = client.stamp(stamp).await;
        answer.map_err(|error| self.handle_error(address, error))
    }

    /// Asks a peer for the changes since a revision, if it still keeps that.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no answer came, [`Error::Refused`] if the peer answered
    /// with an error or its answer is malformed.
    pub async fn difference(
        &self,
        address: SocketAddr,
        stamp: Stamp,
        after: id::Revision,
    ) -> Result<Option<Difference>, Error> {
        let client = self.client(address).await?;
        let answer = client.difference(stamp, after).await;
        answer
            .inspect(|difference| packet::record_json("in", difference))
            .map_err(|error| self.handle_error(address, error))
    }

    /// Asks a peer for its service-level counts of the last hour.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no answer came, [`Error::Refused`] if the peer answered
    /// with an error or its answer is malformed.
    pub async fn sheet(&self, address: SocketAddr, stamp: Stamp) -> Result<Sheet, Error> {
        let client = self.client(address).await?;
        let answer = client.sheet(stamp).await;
        answer.map_err(|error| self.handle_error(address, error))
    }

    /// Asks a peer for all members that it knows.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no answer came, [`Error::Refused`] if the peer answered
    /// with an error or its answer is malformed.
    pub async fn status(&self, address: SocketAddr, stamp: Stamp) -> Result<Status, Error> {
        let client = self.client(address).await?;
        let answer = client.status(stamp).await;
        answer.map_err(|error| self.handle_error(address, error))
    }

    /// Returns a client for a peer, connecting to it if no connection is open.
    async fn client(&self, address: SocketAddr) -> Result<Arc<WsClient>, Error> {
        if let Some(client) = self.reuse(address) {
            return Ok(client);
        }
        let client = Arc::new(self.connect(address).await?);
        let mut peers = self.peers.lock();
        peers.retain(|peer| peer.address != address);
        if peers.len() >= self.max_connections && !peers.is_empty() {
            peers.remove(0);
        }
        peers.push(Peer { address, client: Arc::clone(&client) });
        Ok(client)
    }

    /// Returns the connection to a peer if it is still open, and marks it as the most
    /// recently used.
    fn reuse(&self, address: SocketAddr) -> Option<Arc<WsClient>> {
        let mut peers = self.peers.lock();
        let index = peers.iter().position(|peer| peer.address == address)?;
        let peer = peers.remove(index);
        if !peer.client.is_connected() {
            return None;
        }
        peers.push(peer.clone());
        Some(peer.client)
    }

    async fn connect(&self, address: SocketAddr) -> Result<WsClient, Error> {
        let builder = client_builder().set_headers(self.key.headers());
        let client = builder.build(format!("ws://{address}")).await;
        client.map_err(|error| Error::Unreachable(address, error.to_string()))
    }

    /// Converts the error of a call, and drops the connection unless the peer answered.
    fn handle_error(&self, address: SocketAddr, error: ClientError) -> Error {
        if !matches!(error, ClientError::Call(_)) {
            self.peers.lock().retain(|peer| peer.address != address);
        }
        into_error(address, error)
    }
}

/// Returns a builder of clients with the limits of calls between processes.
pub(crate) fn client_builder() -> WsClientBuilder {
    WsClientBuilder::default()
        .max_request_size(limit::CALL_MAX_BYTES)
        .max_response_size(limit::ANSWER_MAX_BYTES)
        .connection_timeout(limit::CONNECT_TIMEOUT)
        .request_timeout(limit::CALL_TIMEOUT)
        .max_redirections(1)
}

/// Converts a client error: an error that the peer answered is a refusal, any other
/// means that the peer can't be reached.
pub(crate) fn into_error(address: SocketAddr, error: ClientError) -> Error {
    match error {
        ClientError::Call(refusal) => Error::Refused(address, refusal.message().to_owned()),
        error => Error::Unreachable(address, error.to_string()),
    }
}

/// Decodes an answer.
///
/// # Errors
///
/// [`Error::Refused`] if the answer is malformed.
pub(crate) fn decode<T: DeserializeOwned>(address: SocketAddr, answer: &str) -> Result<T, Error> {
    let malformed = || Error::Refused(address, "its answer can't be read".to_owned());
    packet::decode(answer).ok_or_else(malformed)
}
