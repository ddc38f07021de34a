//! Endpoints as they announce themselves.

use std::net::SocketAddr;
use std::sync::Arc;

/// An endpoint as its announcement in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Names this start of the endpoint, so that a later user of its address is told apart.
    pub id: Arc<str>,
    /// The service that it offers.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Requests that it works on at once, if it says so.
    pub slots: Option<u32>,
    /// Whether it takes new work.
    pub state: State,
    /// The Unix time of its start in milliseconds: an endpoint may start again under its id.
    pub born: Option<u64>,
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has and then goes.
    Leaving,
}

impl Endpoint {
    /// Whether both describe the same start of the same endpoint.
    pub fn is_same_start(&self, other: &Endpoint) -> bool {
        self.id == other.id && self.address == other.address && self.born == other.born
    }
}
