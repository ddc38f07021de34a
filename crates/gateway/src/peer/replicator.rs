//! Replicates streams to other gateways as they begin.

use std::cell::Cell;
use std::time::Duration;

use futures_util::future::join_all;
use policy::origin::Segment;
use policy::relay::Duty;
use tokio::time::timeout;

use crate::peer::Connections;
use crate::peer::Member;
use crate::peer::Peers;

/// Time limit of a call, for which the first events of streams are held back.
const CALL_TIMEOUT: Duration = Duration::from_millis(40);

/// Other hubs to which a hub replicates.
const MAX_HUBS: usize = 2;

/// Replicates the streams of this gateway before their first events are sent. What only the store has
/// may be lost together with this gateway, if the store comes back from a copy. See
/// `docs/decisions/versions.md`.
pub(crate) struct Replicator<'a> {
    peers: &'a Peers,
    connections: Connections,
    /// Time up to which streams have been sent.
    sent_until: Cell<Duration>,
}

impl Replicator<'_> {
    /// Creates a value that has sent nothing yet.
    pub(crate) fn new(peers: &Peers) -> Replicator<'_> {
        let connections = Connections::new(CALL_TIMEOUT);
        Replicator { peers, connections, sent_until: Cell::default() }
    }

    /// Replicates the streams that began since the last call: to the hub of this gateway or, if it
    /// is a hub, to others.
    pub(crate) async fn replicate(&self) {
        let routing = self.peers.routing();
        let now = routing.now();
        let streams = routing.origins().recent_since(self.sent_until.replace(now), now);
        if streams.rows.is_empty() {
            return;
        }
        let mut members = self.peers.relays(Duty::Loads);
        members.truncate(1);
        if members.is_empty() {
            members = self.peers.hubs();
            members.truncate(MAX_HUBS);
        }
        join_all(members.iter().map(|member| self.send(member, &streams))).await;
    }

    async fn send(&self, member: &Member, streams: &Segment) {
        let call = async { self.connections.client(member).await?.replicate(streams).await };
        let error = match timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "it did not answer in time".to_owned(),
        };
        // The exchange of loads sends them again, and records whether the peer fails.
        log::debug!(peer = member.vm.as_str(); "new streams are not replicated: {error}");
    }
}
