//! Endpoints and their state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An endpoint as announced in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The id of the endpoint, which tells it apart from a later user of its address.
    pub id: Arc<str>,
    /// The service that it offers.
    pub service: Arc<str>,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// The version of its software; empty if it announces none. Streams of different versions
    /// don't fit together.
    pub version: Arc<str>,
    /// Requests that it processes at the same time, if it announces that.
    pub slots: Option<u32>,
    /// Whether it accepts new requests.
    pub state: State,
    /// When it was started, in milliseconds of Unix time. It tells starts apart, since an
    /// endpoint may be restarted with the same id.
    pub started_ms: Option<u64>,
    /// Number that grows with the endpoint's announcements since its start, if they have one.
    pub sequence: Option<u64>,
    /// How much longer it takes only few requests, as of the announcement; zero if it is not cold.
    pub cold_left: Duration,
}

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It completes the requests that it has and then stops.
    Leaving,
}

impl Endpoint {
    /// Returns the newer announcement of both: of the same start the one with the higher number, else
    /// the other one.
    pub fn newer_of(&self, other: Endpoint) -> Endpoint {
        let is_comparable = self.started_ms.is_some() && self.is_same_start(&other);
        let is_newer = is_comparable && self.sequence > other.sequence;
        if is_newer { self.clone() } else { other }
    }

    /// Whether both describe the same start of the same endpoint.
    pub fn is_same_start(&self, other: &Endpoint) -> bool {
        self.id == other.id && self.address == other.address && self.started_ms == other.started_ms
    }
}
