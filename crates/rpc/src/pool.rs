//! Calls peers over connections that are kept open.

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

/// A few open connections, the least lately used one being closed first.
#[derive(Debug)]
pub struct Pool {
    key: Key,
    size: usize,
    peers: Mutex<Vec<Peer>>,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    client: Arc<WsClient>,
}

impl Pool {
    /// A pool of at most `size` connections.
    pub fn new(key: Key, size: usize) -> Pool {
        Pool { key, size, peers: Mutex::default() }
    }

    /// Exchanges beats with a peer.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] and [`Error::Refused`].
    pub async fn beat(&self, address: SocketAddr, packet: &Packet) -> Result<Packet, Error> {
        let client = self.client(address).await?;
        let answer = client.beat(packet::encode(packet)).await;
        read(address, &answer.map_err(|error| self.failed(address, error))?)
    }

    /// Asks a peer for hashes of its members in those buckets that differ.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] and [`Error::Refused`].
    pub async fn hashes(
        &self,
        address: SocketAddr,
        stamp: Stamp,
        buckets: &[u32],
    ) -> Result<Vec<u32>, Error> {
        let client = self.client(address).await?;
        let answer = client.hashes(stamp, packet::encode(&buckets)).await;
        read(address, &answer.map_err(|error| self.failed(address, error))?)
    }

    /// Asks a peer for the members whose descriptions have these hashes.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] and [`Error::Refused`].
    pub async fn described(
        &self,
        address: SocketAddr,
        stamp: Stamp,
        hashes: &[u32],
    ) -> Result<Vec<Member>, Error> {
        let client = self.client(address).await?;
        let answer = client.described(stamp, packet::encode(&hashes)).await;
        read(address, &answer.map_err(|error| self.failed(address, error))?)
    }

    /// Asks a peer for the configuration in force there if it is above `after`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] and [`Error::Refused`].
    pub async fn document(
        &self,
        address: SocketAddr,
        stamp: Stamp,
        after: id::Revision,
    ) -> Result<Option<Document>, Error> {
        let client = self.client(address).await?;
        let answer = client.document(stamp, after).await;
        answer
            .inspect(|document| packet::count_json("in", document))
            .map_err(|error| self.failed(address, error))
    }

    /// Asks a peer for its own stamp, and so for the revision in force there.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] and [`Error::Refused`].
    pub async fn stamp(&self, address: SocketAddr, stamp: Stamp) -> Result<Stamp, Error> {
        let client = self.client(address).await?;
        let answer = client.stamp(stamp).await;
        answer.map_err(|error| self.failed(address, error))
    }

    /// Asks a peer for what changed since a revision, if it still knows that.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] and [`Error::Refused`].
    pub async fn difference(
        &self,
        address: SocketAddr,
        stamp: Stamp,
        after: id::Revision,
    ) -> Result<Option<Difference>, Error> {
        let client = self.client(address).await?;
        let answer = client.difference(stamp, after).await;
        answer
            .inspect(|difference| packet::count_json("in", difference))
            .map_err(|error| self.failed(address, error))
    }

    /// Asks a peer for its service-level counts.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] and [`Error::Refused`].
    pub async fn sheet(&self, address: SocketAddr, stamp: Stamp) -> Result<Sheet, Error> {
        let client = self.client(address).await?;
        let answer = client.sheet(stamp).await;
        answer.map_err(|error| self.failed(address, error))
    }

    /// Asks a peer for all that it knows of the fleet.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] and [`Error::Refused`].
    pub async fn status(&self, address: SocketAddr, stamp: Stamp) -> Result<Status, Error> {
        let client = self.client(address).await?;
        let answer = client.status(stamp).await;
        answer.map_err(|error| self.failed(address, error))
    }

    async fn client(&self, address: SocketAddr) -> Result<Arc<WsClient>, Error> {
        if let Some(client) = self.reuse(address) {
            return Ok(client);
        }
        let client = Arc::new(self.connect(address).await?);
        let mut peers = self.peers.lock();
        peers.retain(|peer| peer.address != address);
        if peers.len() >= self.size && !peers.is_empty() {
            peers.remove(0);
        }
        peers.push(Peer { address, client: Arc::clone(&client) });
        Ok(client)
    }

    /// Moves a connection that is still open to the end, where the latest used stand.
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
        let builder = builder().set_headers(self.key.headers());
        let client = builder.build(format!("ws://{address}")).await;
        client.map_err(|error| Error::Unreachable(address, error.to_string()))
    }

    /// A call that was answered leaves its connection open; any other closes it.
    fn failed(&self, address: SocketAddr, error: ClientError) -> Error {
        if !matches!(error, ClientError::Call(_)) {
            self.peers.lock().retain(|peer| peer.address != address);
        }
        self::error(address, error)
    }
}

/// A client with the limits of calls between processes.
pub(crate) fn builder() -> WsClientBuilder {
    WsClientBuilder::default()
        .max_request_size(limit::CALL_BYTES)
        .max_response_size(limit::ANSWER_BYTES)
        .connection_timeout(limit::CONNECT_TIMEOUT)
        .request_timeout(limit::CALL_TIMEOUT)
        .max_redirections(1)
}

/// Tells a refusal from a peer that can't be reached.
pub(crate) fn error(address: SocketAddr, error: ClientError) -> Error {
    match error {
        ClientError::Call(refusal) => Error::Refused(address, refusal.message().to_owned()),
        error => Error::Unreachable(address, error.to_string()),
    }
}

pub(crate) fn read<T: DeserializeOwned>(address: SocketAddr, answer: &str) -> Result<T, Error> {
    let malformed = || Error::Refused(address, "its answer can't be read".to_owned());
    packet::decode(answer).ok_or_else(malformed)
}
