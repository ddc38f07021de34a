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

/// Gateways that are asked next if all of these failed.
const MAX_OTHERS: usize = 3;

/// Replicates the streams of this gateway before their first events are sent. What only the store has
/// may be lost together with this gateway, if the store comes back from a copy; and while the store
/// turns this gateway away, others have to store them. See `docs/decisions/versions.md`.
pub(crate) struct Replicator<'a> {
    peers: &'a Peers,
    connections: Connections,
    /// Time up to which streams have been replicated.
    sent_until: Cell<Duration>,
    /// The same, to gateways that store them; zero while this gateway stores its streams itself.
    adopted_until: Cell<Duration>,
}

impl Replicator<'_> {
    /// Creates a value that has sent nothing yet.
    pub(crate) fn new(peers: &Peers) -> Replicator<'_> {
        let connections = Connections::new(CALL_TIMEOUT);
        let (sent_until, adopted_until) = (Cell::default(), Cell::default());
        Replicator { peers, connections, sent_until, adopted_until }
    }

    /// Replicates the streams that began since the last call that succeeded: to the hub of this
    /// gateway or, if it is a hub, to others; and to further gateways if all of these fail. Returns
    /// whether one of them has the streams, or there is no other gateway and the store has the versions.
    pub(crate) async fn replicate(&self) -> bool {
        let routing = self.peers.routing();
        let now = routing.now();
        let is_failing = routing.origins().recording.is_failing();
        let sent_until = if is_failing { &self.adopted_until } else { &self.sent_until };
        let streams = routing.origins().recent_since(sent_until.get(), now);
        if streams.rows.is_empty() {
            return true;
        }
        if self.peers.is_alone() {
            return routing.origins().journal.has_versions(&streams);
        }
        let witnesses = self.peers.witnesses();
        let has_relay = !self.peers.relays(Duty::Loads).is_empty();
        let first = witnesses.len().min(if has_relay { 1 } else { MAX_HUBS });
        let (first, others) = witnesses.split_at(first);
        let others = &others[..others.len().min(MAX_OTHERS)];
        let is_done = self.send_all(first, &streams, is_failing).await
            || self.send_all(others, &streams, is_failing).await;
        if is_done {
            self.sent_until.set(now);
            self.adopted_until.set(if is_failing { now } else { Duration::ZERO });
        }
        is_done
    }

    /// Replicates streams to some gateways, to store them if this one can't. Returns whether one of them
    /// has taken them.
    async fn send_all(&self, members: &[Member], streams: &Segment, is_failing: bool) -> bool {
        let sent = members.iter().map(|member| self.send(member, streams, is_failing));
        join_all(sent).await.contains(&true)
    }

    async fn send(&self, member: &Member, streams: &Segment, is_failing: bool) -> bool {
        let call = async {
            let client = self.connections.client(member).await?;
            if is_failing && client.adopt(streams).await.is_ok() {
                return Ok(());
            }
            // Earlier builds don't adopt streams.
            client.replicate(streams).await
        };
        let error = match timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(())) => {
                log::debug!(peer = member.vm.as_str(), streams:?; "new streams are replicated");
                return true;
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "it did not answer in time".to_owned(),
        };
        // The exchange of loads sends them again, and records whether the peer fails.
        log::debug!(peer = member.vm.as_str(); "new streams are not replicated: {error}");
        false
    }
}
