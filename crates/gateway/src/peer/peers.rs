//! Addresses of other gateways, and answers to their queries.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use parking_lot::MutexGuard;
use rpc::view::Answer;
use rpc::view::Cursor;
use rpc::view::Source;

use crate::Routing;
use crate::peer::Mirror;

/// Most addresses of other peers in an answer, so that it stays small in a large fleet.
const MAX_ADDRESSES: usize = 8;

/// Addresses of other gateways, and the local copy of the store's keys that answers their queries.
///
/// Lock order: `registered`, then `mirror`. No lock is held across an await.
#[derive(Debug, Default)]
pub struct Peers {
    /// Configured addresses of peers; some of the peers may no longer exist.
    seeds: Vec<SocketAddr>,
    /// Addresses of the other gateways that are registered in the store.
    registered: Mutex<Vec<SocketAddr>>,
    mirror: Mutex<Mirror>,
    routing: Arc<Routing>,
}

impl Peers {
    /// Creates a value that knows only the configured addresses.
    pub fn new(routing: Arc<Routing>, seeds: Vec<SocketAddr>) -> Peers {
        Peers { seeds, routing, ..Peers::default() }
    }

    /// Sets the addresses of the other gateways that are registered in the store.
    pub fn set_registered(&self, registered: Vec<SocketAddr>) {
        let others = u32::try_from(registered.len()).unwrap_or(u32::MAX);
        self.routing.set_gateways(others.saturating_add(1));
        *self.registered.lock() = registered;
    }

    /// Returns all addresses at which a peer may be found, sorted.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let mut all = self.registered.lock().clone();
        all.extend(&self.seeds);
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Locks and returns the local copy of the store's keys.
    pub(crate) fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock()
    }

    /// Returns the configuration and the endpoints of this gateway.
    pub(crate) fn routing(&self) -> &Routing {
        &self.routing
    }
}

impl Source for Peers {
    fn newer(&self, known: &[Cursor]) -> Answer {
        let mut peers = self.addresses();
        peers.truncate(MAX_ADDRESSES);
        let now = self.routing.now();
        let mirror = self.mirror.lock();
        Answer {
            is_current: mirror.is_current(now),
            snapshots: mirror.newer_than(known, now),
            peers,
        }
    }
}
