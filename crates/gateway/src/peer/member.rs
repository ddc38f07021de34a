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
    /// Format of the store's versions in its answers as a relay. It is 0 for builds whose versions
    /// don't order changes across restores of the store.
    #[serde(default)]
    pub format: u32,
}

impl Member {
    /// The format of versions of this build, see [`services::version`].
    pub const FORMAT: u32 = 1;

    /// Returns what a choice of relays needs of it. Builds with another format of versions are
    /// relays only if there are no others.
    pub(crate) fn candidate(&self) -> Candidate<'_> {
        let capacity = if self.format == Member::FORMAT { self.capacity } else { 0 };
        Candidate { vm: &self.vm, centre: &self.centre, capacity }
    }
}
