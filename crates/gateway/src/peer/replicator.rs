//! Replicates streams to other gateways as they begin.

use std::cell::Cell;
use std::time::Duration;

use futures_util::future::join_all;
use policy::origin::Segment;
use policy::relay::Duty;
use rpc::view::Pledge;
use tokio::time::timeout;

use crate::peer::Connections;
use crate::peer::Member;
use crate::peer::Peers;

/// Time limit of a call, for which the first events of streams are held back.
const CALL_TIMEOUT: Duration = Duration::from_millis(40);

/// Time limit of a call that waits until the store has streams, for which their first events are held back
/// while this gateway can't write.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(260);

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
    /// gateway or, if it is a hub, to others; and to further gateways if all of these fail. Streams that
    /// need a row and that this gateway can't store are stored by the others. Returns where they are.
    pub(crate) async fn replicate(&self) -> Places {
        let routing = self.peers.routing();
        let now = routing.now();
        let is_failing = routing.origins().recording.is_failing();
        let sent_until = if is_failing { &self.adopted_until } else { &self.sent_until };
        let streams = routing.origins().recent_since(sent_until.get(), now);
        if streams.rows.is_empty() {
            return Places { is_replicated: true, ..Places::default() };
        }
        let is_named = routing.origins().journal.has_versions(&streams);
        if self.peers.is_alone() {
            return Places { is_replicated: is_named, ..Places::default() };
        }
        let mode = match is_failing {
            false => Mode::Replicate,
            true if is_named => Mode::Adopt,
            true => Mode::Persist,
        };
        let witnesses = self.peers.witnesses();
        let has_relay = !self.peers.relays(Duty::Loads).is_empty();
        let first = witnesses.len().min(if has_relay { 1 } else { MAX_HUBS });
        let (first, others) = witnesses.split_at(first);
        let others = &others[..others.len().min(MAX_OTHERS)];
        let mut places = self.send_all(first, &streams, mode).await;
        let is_answered = places.is_stored || places.is_named;
        if !places.is_replicated || mode == Mode::Persist && !is_answered {
            places = places.or(self.send_all(others, &streams, mode).await);
        }
        if places.is_replicated {
            self.sent_until.set(now);
            self.adopted_until.set(if is_failing { now } else { Duration::ZERO });
        }
        places
    }

    /// Replicates streams to some gateways.
    async fn send_all(&self, members: &[Member], streams: &Segment, mode: Mode) -> Places {
        let sent = members.iter().map(|member| self.send(member, streams, mode));
        join_all(sent).await.into_iter().fold(Places::default(), Places::or)
    }

    async fn send(&self, member: &Member, streams: &Segment, mode: Mode) -> Places {
        let call = async {
            let client = self.connections.client(member).await?;
            let replicated = Places { is_replicated: true, ..Places::default() };
            match mode {
                Mode::Persist => {
                    let pledge = client.persist(streams, PERSIST_TIMEOUT).await;
                    if let Ok(Pledge { is_stored, is_named }) = pledge {
                        let is_outage = !is_stored && !is_named;
                        return Ok(Places { is_stored, is_named, is_outage, ..replicated });
                    }
                }
                Mode::Adopt => {
                    if client.adopt(streams).await.is_ok() {
                        return Ok(replicated);
                    }
                }
                Mode::Replicate => {}
            }
            // Earlier builds neither adopt nor persist streams.
            client.replicate(streams).await.map(|()| replicated)
        };
        let limit = if mode == Mode::Persist { PERSIST_TIMEOUT } else { CALL_TIMEOUT };
        let error = match timeout(limit, call).await {
            Ok(Ok(places)) => {
                log::debug!(peer = member.vm.as_str(), streams:?, places:?;
                    "new streams are replicated");
                return places;
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "it did not answer in time".to_owned(),
        };
        // The exchange of loads sends them again, and records whether the peer fails.
        log::debug!(peer = member.vm.as_str(); "new streams are not replicated: {error}");
        Places::default()
    }
}

/// What other gateways do with replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// They remember them.
    Replicate,
    /// They store them as well, later.
    Adopt,
    /// They answer once the store has them, or at once if their journals name the versions.
    Persist,
}

/// Where streams are recorded beside this gateway.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Places {
    /// Whether another gateway has them.
    pub(crate) is_replicated: bool,
    /// Whether another gateway has stored them.
    pub(crate) is_stored: bool,
    /// Whether another gateway has them whose journal names their versions.
    pub(crate) is_named: bool,
    /// Whether gateways that were to store them could not, and none could.
    pub(crate) is_outage: bool,
}

impl Places {
    fn or(self, other: Places) -> Places {
        let is_stored = self.is_stored || other.is_stored;
        let is_named = self.is_named || other.is_named;
        let is_outage = self.is_outage || other.is_outage;
        Places {
            is_replicated: self.is_replicated || other.is_replicated,
            is_stored,
            is_named,
            is_outage: is_outage && !is_stored && !is_named,
        }
    }
}
