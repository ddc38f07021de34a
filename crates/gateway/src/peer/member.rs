//! Members: what a gateway tells the others of itself in the store.

use std::net::SocketAddr;

use policy::relay::Candidate;
use serde::Deserialize;
use serde::Serialize;

/// A gateway, as it is registered in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its VM.
    pub vm: String,
    /// Its data centre.
    pub centre: String,
    /// The address at which peers can call it.
    pub address: SocketAddr,
    /// Its processor share in thousandths of a core.
    pub capacity: u32,
}

impl Member {
    /// Returns what a choice of relays needs of it.
    pub(crate) fn candidate(&self) -> Candidate<'_> {
        Candidate { vm: &self.vm, centre: &self.centre, capacity: self.capacity }
    }
}
