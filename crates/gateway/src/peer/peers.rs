//! Where other gateways are, and what this one can tell them.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use parking_lot::MutexGuard;
use rpc::view::Answer;
use rpc::view::Cursor;
use rpc::view::Source;

use crate::Knowledge;
use crate::peer::Mirror;

/// Addresses that an answer names, so that it stays small in a large fleet.
const NAMED: usize = 8;

/// Where other gateways are, and what this one can tell them.
///
/// Lock order: `registered`, then `mirror`. No lock is held across an await.
#[derive(Debug, Default)]
pub struct Peers {
    /// Where peers were when the fleet was set up; some may be gone.
    seeds: Vec<SocketAddr>,
    /// Other gateways that the store lists.
    registered: Mutex<Vec<SocketAddr>>,
    mirror: Mutex<Mirror>,
    knowledge: Arc<Knowledge>,
}

impl Peers {
    /// Knows the seeds alone.
    pub fn new(knowledge: Arc<Knowledge>, seeds: Vec<SocketAddr>) -> Peers {
        Peers { seeds, knowledge, ..Peers::default() }
    }

    /// Takes in where the gateways of the fleet are.
    pub fn set_registered(&self, registered: Vec<SocketAddr>) {
        let others = u32::try_from(registered.len()).unwrap_or(u32::MAX);
        self.knowledge.set_gateways(others.saturating_add(1));
        *self.registered.lock() = registered;
    }

    /// All addresses under which a peer may be found, sorted.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let mut all = self.registered.lock().clone();
        all.extend(&self.seeds);
        all.sort_unstable();
        all.dedup();
        all
    }

    /// The store's keys as they are known here.
    pub(crate) fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock()
    }

    pub(crate) fn knowledge(&self) -> &Knowledge {
        &self.knowledge
    }
}

impl Source for Peers {
    fn newer(&self, known: &[Cursor]) -> Answer {
        let mut peers = self.addresses();
        peers.truncate(NAMED);
        let now = self.knowledge.now();
        let mirror = self.mirror.lock();
        Answer { is_current: mirror.is_current(now), snapshots: mirror.newer(known, now), peers }
    }
}
