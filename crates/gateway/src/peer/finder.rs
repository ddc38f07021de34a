//! Looks up at other gateways which versions began streams.

use std::time::Duration;

use futures_util::future::join_all;
use parking_lot::Mutex;
use policy::origin::ProcessId;
use policy::origin::Segment;
use policy::relay::Duty;
use policy::relay::Failures;
use rpc::view::Attestation;

use crate::origins::Stored;
use crate::peer::Connections;
use crate::peer::Member;
use crate::peer::Peers;

/// Time limit for an answer, for which clients wait: several round trips between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Most gateways beside the witnesses that are asked about streams without a row or a replica. In a larger
/// fleet such streams are refused.
const MAX_ASKED: usize = 64;

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

    /// Records which versions began those streams of which other gateways know it. Returns the processes
    /// that answered, which began none of the others.
    pub(crate) async fn find(&self, asked: &Segment) -> Vec<ProcessId> {
        if asked.rows.is_empty() {
            return Vec::new();
        }
        self.ask_all(&self.peers.witnesses(), asked).await
    }

    /// Asks the gateways whose processes have a journal and have not answered about streams without a row or a
    /// replica. Returns the processes that answered.
    pub(crate) async fn exclude(
        &self,
        asked: &Segment,
        stored: &Stored,
        answered: &[ProcessId],
    ) -> Vec<ProcessId> {
        let mut vms: Vec<&str> =
            stored.journals.iter().map(|journal| vm(&journal.process)).collect();
        vms.sort_unstable();
        vms.dedup();
        vms.retain(|vm| answered.iter().all(|process| self::vm(process) != *vm));
        let mut members = self.peers.members();
        members.retain(|member| vms.binary_search(&member.vm.as_str()).is_ok());
        if members.len() > MAX_ASKED {
            return Vec::new();
        }
        self.ask_all(&members, asked).await
    }

    async fn ask_all(&self, members: &[Member], asked: &Segment) -> Vec<ProcessId> {
        let now = self.peers.routing().now();
        let is_allowed = |member: &&Member| self.failures.lock().allows(&member.vm, now);
        let answers = members.iter().filter(is_allowed).map(|member| self.ask(member, asked));
        join_all(answers).await.into_iter().flatten().collect()
    }

    /// Asks a gateway; returns its process if it knows all streams that it began.
    async fn ask(&self, member: &Member, asked: &Segment) -> Option<ProcessId> {
        let answer =
            async { self.connections.client(member).await?.attest(asked, ANSWER_TIMEOUT).await };
        let routing = self.peers.routing();
        match answer.await {
            Ok(Attestation { process, streams }) => {
                log::debug!(peer = member.vm.as_str(), asked:?, streams:?; "streams are looked up");
                routing.origins().replicas.learn(&streams, routing.now());
                (!process.is_empty()).then_some(process)
            }
            Err(error) => {
                log::info!(peer = member.vm.as_str(); "streams can't be looked up: {error}");
                self.connections.remove(&member.vm);
                self.failures.lock().record(&member.vm, routing.now());
                None
            }
        }
    }
}

/// Returns the VM of a process.
fn vm(process: &str) -> &str {
    process.rsplit_once('/').map_or(process, |(vm, _)| vm)
}
