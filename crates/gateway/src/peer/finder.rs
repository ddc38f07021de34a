//! Looks up at other gateways which versions began streams.

use std::time::Duration;

use futures_util::future::join_all;
use parking_lot::Mutex;
use policy::origin::Segment;
use policy::relay::Duty;
use policy::relay::Failures;

use crate::peer::Connections;
use crate::peer::Member;
use crate::peer::Peers;

/// Time limit for an answer, for which clients wait: several round trips between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Looks up streams of gateways that could not store them. See `docs/decisions/versions.md`.
pub(crate) struct Finder<'a> {
    peers: &'a Peers,
    connections: Connections,
    /// Gateways that did not answer lately. Each of them would delay all clients by the time limit.
    failures: Mutex<Failures>,
}

impl Finder<'_> {
    /// Creates a value without connections.
    pub(crate) fn new(peers: &Peers) -> Finder<'_> {
        let failures = Mutex::new(Failures::new(Duty::Loads));
        Finder { peers, connections: Connections::new(ANSWER_TIMEOUT), failures }
    }

    /// Records which versions began those streams of which other gateways know it.
    pub(crate) async fn find(&self, asked: &Segment) {
        if asked.rows.is_empty() {
            return;
        }
        let now = self.peers.routing().now();
        let mut witnesses = self.peers.witnesses();
        witnesses.retain(|member| self.failures.lock().allows(&member.vm, now));
        join_all(witnesses.iter().map(|member| self.ask(member, asked))).await;
    }

    async fn ask(&self, member: &Member, asked: &Segment) {
        let found =
            async { self.connections.client(member).await?.look_up(asked, ANSWER_TIMEOUT).await };
        let routing = self.peers.routing();
        match found.await {
            Ok(found) => {
                log::debug!(peer = member.vm.as_str(), asked:?, found:?; "streams are looked up");
                routing.origins().learn(&found, routing.now());
            }
            Err(error) => {
                log::info!(peer = member.vm.as_str(); "streams can't be looked up: {error}");
                self.connections.remove(&member.vm);
                self.failures.lock().record(&member.vm, routing.now());
            }
        }
    }
}
