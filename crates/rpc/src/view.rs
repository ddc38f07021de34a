//! Snapshots of keys that gateways pull from their peers while the key-value service
//! refuses them.

use std::net::SocketAddr;
use std::sync::Arc;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;
use services::feed::Listing;
use tokio_util::sync::CancellationToken;

use crate::Error;
use crate::limit;
use crate::packet;
use crate::pool;
use crate::server;

/// The version up to which the caller knows the keys under a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Common prefix of the keys.
    pub prefix: String,
    /// The service's version up to which the caller knows them; 0 if it knows none.
    pub version: u64,
}

/// A snapshot of the keys under a prefix, as the called process knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Common prefix of the keys.
    pub prefix: String,
    /// The entries, with the service's version up to which they are known.
    pub listing: Listing,
}

/// The answer to a `newer` call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether the called process itself receives changes from the service.
    pub is_current: bool,
    /// Snapshots of the prefixes for which it knows a newer version than the caller.
    pub snapshots: Vec<Snapshot>,
    /// Addresses of other processes that may be called.
    pub peers: Vec<SocketAddr>,
}

/// Provides the snapshots that are sent to peers.
pub trait Source: Send + Sync {
    /// Returns what this process knows that is newer than what a peer knows.
    fn newer(&self, known: &[Cursor]) -> Answer;
}

/// The JSON-RPC interface; messages are encoded as those of control calls.
#[rpc(server, client, namespace = "view")]
pub trait View {
    /// Returns what is newer than an encoded list of [`Cursor`], as an encoded [`Answer`].
    #[method(name = "newer")]
    async fn newer(&self, known: String) -> RpcResult<String>;
}

/// Implements the interface with a source.
struct Methods {
    source: Arc<dyn Source>,
}

#[async_trait]
impl ViewServer for Methods {
    async fn newer(&self, known: String) -> RpcResult<String> {
        let known: Option<Vec<Cursor>> = packet::decode(&known);
        let known = known.ok_or_else(|| limit::invalid("the list can't be read"))?;
        if known.len() > limit::MAX_PREFIXES {
            return Err(limit::invalid("the list names too many prefixes"));
        }
        Ok(packet::encode(&self.source.newer(&known)))
    }
}

/// Listens on an address and answers peers until cancelled.
///
/// # Errors
///
/// [`Error::Listen`] if the address can't be listened on.
pub async fn serve(
    listen: SocketAddr,
    source: Arc<dyn Source>,
    cancel: CancellationToken,
) -> Result<(), Error> {
    let server = server::bind(listen)?;
    server::run(server.start(Methods { source }.into_rpc()), cancel).await;
    Ok(())
}

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
    let client = pool::client_builder().build(format!("ws://{peer}")).await;
    let client = client.map_err(|error| Error::Unreachable(peer, error.to_string()))?;
    let answer = client.newer(packet::encode(&known)).await;
    let answer = answer.map_err(|error| pool::into_error(peer, error))?;
    pool::decode(peer, &answer)
}
