//! Tells other gateways at once of the streams that begin.

use std::cell::Cell;
use std::time::Duration;

use futures_util::future::join_all;
use policy::origin::Segment;
use policy::relay::Duty;
use tokio::time::timeout;

use crate::peer::Connections;
use crate::peer::Member;
use crate::peer::Peers;

/// Time limit for telling others, for which the first events of streams are held back.
const TELL_TIMEOUT: Duration = Duration::from_millis(40);

/// Other hubs that a hub tells. The exchange of loads tells the rest a little later.
const MAX_HUBS: usize = 2;

/// Tells other gateways of the streams that begin here, before their first events are sent: what is
/// only in the store may be lost with the gateway if the store comes back from a copy.
pub(crate) struct Teller<'a> {
    peers: &'a Peers,
    connections: Connections,
    /// Time up to which others have been told.
    told: Cell<Duration>,
}

impl Teller<'_> {
    /// Creates a value that has told nobody of anything.
    pub(crate) fn new(peers: &Peers) -> Teller<'_> {
        let connections = Connections::new(TELL_TIMEOUT);
        Teller { peers, connections, told: Cell::default() }
    }

    /// Tells others of the streams that have begun since the last call.
    pub(crate) async fn tell(&self) {
        let routing = self.peers.routing();
        let now = routing.now();
        let begun = routing.origins().begun_since(self.told.replace(now), now);
        if begun.rows.is_empty() {
            return;
        }
        let mut members = self.peers.relays(Duty::Loads);
        members.truncate(1);
        if members.is_empty() {
            members = self.peers.hubs();
            members.truncate(MAX_HUBS);
        }
        join_all(members.iter().map(|member| self.tell_one(member, &begun))).await;
    }

    async fn tell_one(&self, member: &Member, begun: &Segment) {
        let told = async { self.connections.client(member).await?.begun(begun).await };
        let error = match timeout(TELL_TIMEOUT, told).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "it did not answer in time".to_owned(),
        };
        // The exchange of loads tells it again, and notices whether the peer is gone.
        log::debug!(peer = member.vm.as_str(); "a peer is not told of new streams: {error}");
    }
}
