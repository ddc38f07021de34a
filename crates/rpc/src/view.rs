//! What gateways tell each other while the key-value service turns one of them away.

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

/// What the caller knows of the keys under a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// What the keys begin with.
    pub prefix: String,
    /// The service's version up to which the caller knows them; 0 for nothing.
    pub version: u64,
}

/// The keys under a prefix as the answering process knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// What the keys begin with.
    pub prefix: String,
    /// The keys, with the service's version up to which they are known.
    pub listing: Listing,
}

/// What a process answers to a peer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether the answering process itself hears of the service's changes.
    pub is_current: bool,
    /// The prefixes of which it knows more than the caller.
    pub snapshots: Vec<Snapshot>,
    /// Other processes that may be asked.
    pub peers: Vec<SocketAddr>,
}

/// Answers peers.
pub trait Source: Send + Sync {
    /// What is known that a peer doesn't know yet.
    fn newer(&self, known: &[Known]) -> Answer;
}

/// The call itself; both sides pack their messages as control calls do.
#[rpc(server, client, namespace = "view")]
pub trait View {
    /// Gives what is newer than a packed list of [`Known`], as a packed [`Answer`].
    #[method(name = "newer")]
    async fn newer(&self, known: String) -> RpcResult<String>;
}

struct Methods {
    source: Arc<dyn Source>,
}

#[async_trait]
impl ViewServer for Methods {
    async fn newer(&self, known: String) -> RpcResult<String> {
        let known: Option<Vec<Known>> = packet::decode(&known);
        let known = known.ok_or_else(|| limit::invalid("the list can't be read"))?;
        if known.len() > limit::PREFIXES {
            return Err(limit::invalid("the list names too many prefixes"));
        }
        Ok(packet::encode(&self.source.newer(&known)))
    }
}

/// Answers peers on an address until cancelled.
///
/// # Errors
///
/// [`Error::Listen`].
pub async fn serve(
    listen: SocketAddr,
    source: Arc<dyn Source>,
    cancel: CancellationToken,
) -> Result<(), Error> {
    let server = server::open(listen)?;
    server::run(server.start(Methods { source }.into_rpc()), cancel).await;
    Ok(())
}

/// Asks a peer what it knows that this process doesn't know yet. Connections aren't
/// kept: peers are asked only while the service turns this process away.
///
/// # Errors
///
/// [`Error::Unreachable`] and [`Error::Refused`].
pub async fn ask(peer: SocketAddr, known: &[Known]) -> Result<Answer, Error> {
    let client = pool::builder().build(format!("ws://{peer}")).await;
    let client = client.map_err(|error| Error::Unreachable(peer, error.to_string()))?;
    let answer = client.newer(packet::encode(&known)).await;
    let answer = answer.map_err(|error| pool::error(peer, error))?;
    pool::read(peer, &answer)
}
