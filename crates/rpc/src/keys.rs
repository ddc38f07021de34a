//! The keys that a process accepts on control calls.

use jsonrpsee::ws_client::HeaderMap;
use jsonrpsee::ws_client::HeaderValue;
use wire::key::HEADER;

use crate::Key;

/// The fleet's peer key and the keys of its operators.
#[derive(Debug, Clone)]
pub struct Keys {
    peer: Key,
    operators: Vec<wire::Key>,
}

/// The kind of caller, by the key that its connection showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Caller {
    /// A process of the fleet, which may make every call.
    Peer,
    /// An operator, who may only make calls that read.
    Operator,
}

impl Keys {
    /// Accepts the peer key alone; operators then need it too.
    pub fn new(peer: Key) -> Keys {
        Keys { peer, operators: Vec::new() }
    }

    /// Accepts the peer key and the keys of operators.
    pub fn with_operators<'a>(peer: Key, operators: impl IntoIterator<Item = &'a str>) -> Keys {
        Keys { peer, operators: operators.into_iter().map(wire::Key::new).collect() }
    }

    /// Returns the key to show to peers.
    pub fn peer(&self) -> &Key {
        &self.peer
    }

    /// Returns the kind of the key in these headers; `None` if it is missing or wrong.
    ///
    /// Every key is compared, each in constant time.
    pub(crate) fn caller(&self, headers: &HeaderMap) -> Option<Caller> {
        let is_peer = self.peer.is_shown(headers);
        let shown = headers.get(HEADER).map(HeaderValue::as_bytes);
        let operators = self.operators.iter().filter(|key| key.is_shown(shown)).count();
        match (is_peer, operators) {
            (true, _) => Some(Caller::Peer),
            (false, 0) => None,
            (false, _) => Some(Caller::Operator),
        }
    }
}
