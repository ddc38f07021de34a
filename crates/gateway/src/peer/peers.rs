//! What a gateway knows of the others, and the answers to their calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use policy::exchange::Report;
use policy::observation;
use policy::observation::Observations;
use policy::origin::Segment;
use policy::origin::Signal;
use policy::quarantine::Digest;
use policy::rate_limit;
use policy::rate_limit::Usage;
use policy::relay::Candidate;
use policy::relay::Duty;
use policy::relay::Failures;
use policy::relay::Order;
use rpc::view::Answer;
use rpc::view::Attestation;
use rpc::view::Cursor;
use rpc::view::Delta;
use rpc::view::Loads;
use rpc::view::Pledge;
use rpc::view::Source;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::Routing;
use crate::peer::Exchange;
use crate::peer::Member;
use crate::peer::Mirror;
use crate::peer::Own;
use crate::peer::Presence;

/// Most addresses of other peers in an answer, so that it stays small in a large fleet.
const MAX_ADDRESSES: usize = 8;

/// Most gateways at which a stream is looked up: all of a small fleet, the hubs of a large one.
const MAX_WITNESSES: usize = 12;

/// The other gateways, the local copy of the store's keys that answers their calls, and their
/// loads.
///
/// Lock order: `registered`, `members`, `store_failures`, `load_failures`, `mirror`, `exchange`.
/// No lock is held across an await.
#[derive(Debug)]
pub struct Peers {
    own: Member,
    /// Configured addresses of peers; some of the peers may no longer exist.
    seeds: Vec<SocketAddr>,
    /// Addresses of the other gateways that are registered in the store.
    registered: Mutex<Vec<SocketAddr>>,
    /// The gateways that are registered with their properties, including this one.
    members: Mutex<Vec<Member>>,
    /// Relays that failed lately to tell changes of the store.
    store_failures: Mutex<Failures>,
    /// Relays that failed lately to exchange loads.
    load_failures: Mutex<Failures>,
    mirror: Mutex<Mirror>,
    exchange: Mutex<Exchange>,
    /// Signals changes of the mirror.
    changed: watch::Sender<()>,
    /// Number of restores of the store that this gateway knows of; `None` before its first read.
    restores: watch::Sender<Option<u64>>,
    /// Whether the store is away, as far as this gateway or its relay knows.
    presence: Presence,
    routing: Arc<Routing>,
    /// Writes per second that the store allows to all gateways together.
    writes_per_s: f64,
}

/// Writes per second that a store allows if nothing else is known: as many as the smallest one.
const DEFAULT_WRITES_PER_S: f64 = 400.0;

impl Peers {
    /// Creates a value that knows only the configured addresses.
    ///
    /// `incarnation` is the start of this process in Unix milliseconds.
    pub fn new(
        routing: Arc<Routing>,
        own: Member,
        incarnation: u64,
        seeds: Vec<SocketAddr>,
    ) -> Peers {
        Peers {
            seeds,
            registered: Mutex::default(),
            members: Mutex::new(vec![own.clone()]),
            store_failures: Mutex::new(Failures::new(Duty::Store)),
            load_failures: Mutex::new(Failures::new(Duty::Loads)),
            mirror: Mutex::default(),
            exchange: Mutex::new(Exchange::new(&own.vm, incarnation)),
            changed: watch::Sender::default(),
            restores: watch::Sender::default(),
            presence: Presence::default(),
            own,
            routing,
            writes_per_s: DEFAULT_WRITES_PER_S,
        }
    }

    /// Sets the writes per second that the store allows to all gateways together.
    pub fn with_writes_per_s(self, writes_per_s: f64) -> Peers {
        Peers { writes_per_s, ..self }
    }

    /// Returns the writes per second that the store allows to all gateways together.
    pub(crate) fn writes_per_s(&self) -> f64 {
        self.writes_per_s
    }

    /// Sets the addresses and the properties of the other gateways that are registered in the
    /// store. Those of builds that register no properties have only an address.
    pub fn set_registered(&self, registered: Vec<SocketAddr>, mut members: Vec<Member>) {
        let others = u32::try_from(registered.len()).unwrap_or(u32::MAX);
        self.routing.set_gateways(others.saturating_add(1));
        *self.registered.lock() = registered;
        members.push(self.own.clone());
        members.sort_unstable_by(|left, right| left.vm.cmp(&right.vm));
        *self.members.lock() = members;
    }

    /// Returns this gateway.
    pub(crate) fn own(&self) -> &Member {
        &self.own
    }

    /// Returns all addresses at which a peer may be found, sorted.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let mut all = self.registered.lock().clone();
        all.extend(&self.seeds);
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Returns the relays that this gateway asks for a duty, without those that failed lately;
    /// empty if it does the duty itself.
    pub(crate) fn relays(&self, duty: Duty) -> Vec<Member> {
        let members = self.members.lock();
        let asked = self.asked(duty, &members);
        let failures = self.failures(duty).lock();
        let now = self.routing.now();
        let is_allowed = |index: &usize| failures.allows(&members[*index].vm, now);
        asked.into_iter().filter(is_allowed).map(|index| members[index].clone()).collect()
    }

    /// Whether this gateway asks relays for a duty, even if all of them failed lately.
    pub(crate) fn has_relay(&self, duty: Duty) -> bool {
        !self.asked(duty, &self.members.lock()).is_empty()
    }

    /// Returns the addresses of the relays that this gateway asks for a duty, the first one last.
    pub(crate) fn relay_addresses(&self, duty: Duty) -> Vec<SocketAddr> {
        let members = self.members.lock();
        let asked = self.asked(duty, &members);
        asked.into_iter().rev().map(|index| members[index].address).collect()
    }

    /// Returns the relays that this gateway asks for a duty, as indices into the members.
    fn asked(&self, duty: Duty, members: &[Member]) -> Vec<usize> {
        let candidates: Vec<Candidate<'_>> = members.iter().map(Member::candidate).collect();
        Order::new(duty, &self.own.centre, &candidates).asked_by(&self.own.vm, &candidates)
    }

    /// Whether other gateways of the data centre rely on this one for a duty.
    pub(crate) fn is_relay(&self, duty: Duty) -> bool {
        let members = self.members.lock();
        let candidates: Vec<Candidate<'_>> = members.iter().map(Member::candidate).collect();
        let order = Order::new(duty, &self.own.centre, &candidates);
        let mut serving = order.relays().iter().copied().chain(order.standby());
        order.standby().is_some() && serving.any(|index| members[index].vm == self.own.vm)
    }

    /// Returns the hubs, which are the gateways that add up loads, without this one. Where one
    /// failed lately, the standby of its data centre is returned as well.
    pub(crate) fn hubs(&self) -> Vec<Member> {
        let members = self.members.lock();
        let candidates: Vec<Candidate<'_>> = members.iter().map(Member::candidate).collect();
        let mut centres: Vec<&str> = candidates.iter().map(|member| member.centre).collect();
        centres.sort_unstable();
        centres.dedup();
        let failures = self.load_failures.lock();
        let now = self.routing.now();
        let is_allowed = |index: &usize| failures.allows(&members[*index].vm, now);
        let mut hubs = Vec::new();
        for centre in centres {
            let order = Order::new(Duty::Loads, centre, &candidates);
            let has_failed = !order.relays().iter().all(is_allowed);
            let standby = order.standby().filter(|_| has_failed);
            hubs.extend(order.relays().iter().copied().chain(standby).filter(is_allowed));
        }
        hubs.retain(|index| members[*index].vm != self.own.vm);
        hubs.into_iter().map(|index| members[index].clone()).collect()
    }

    /// Returns the other gateways that are registered.
    pub(crate) fn members(&self) -> Vec<Member> {
        let members = self.members.lock();
        members.iter().filter(|member| member.vm != self.own.vm).cloned().collect()
    }

    /// Returns the gateways to which streams are replicated and at which they are looked up, the ones
    /// that are asked first first: the hubs, and others where there is room. While no others are
    /// registered, they are the configured addresses.
    pub(crate) fn witnesses(&self) -> Vec<Member> {
        let mut witnesses = self.relays(Duty::Loads);
        witnesses.extend(self.hubs());
        witnesses.truncate(MAX_WITNESSES);
        {
            let members = self.members.lock();
            let failures = self.load_failures.lock();
            let now = self.routing.now();
            let others = members.iter().filter(|member| {
                let is_new = witnesses.iter().all(|witness| witness.vm != member.vm);
                is_new && member.vm != self.own.vm && failures.allows(&member.vm, now)
            });
            let others: Vec<Member> =
                others.take(MAX_WITNESSES - witnesses.len()).cloned().collect();
            witnesses.extend(others);
        }
        if witnesses.is_empty() && self.members.lock().len() == 1 {
            let others = self.seeds.iter().filter(|address| **address != self.own.address);
            witnesses = others.map(|address| self.seed(*address)).collect();
        }
        witnesses
    }

    /// Whether this gateway knows of no other one.
    pub(crate) fn is_alone(&self) -> bool {
        let has_seed = self.seeds.iter().any(|address| *address != self.own.address);
        self.members.lock().len() == 1 && !has_seed
    }

    /// Returns a configured peer of which only the address is known.
    fn seed(&self, address: SocketAddr) -> Member {
        Member { vm: address.to_string(), address, capacity: 0, ..self.own.clone() }
    }

    /// Records that a relay failed to do a duty.
    pub(crate) fn relay_failed(&self, duty: Duty, vm: &str) {
        self.failures(duty).lock().record(vm, self.routing.now());
    }

    /// Locks and returns the local copy of the store's keys.
    pub(crate) fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock()
    }

    /// Changes the local copy of the store's keys, and answers peers that wait for changes.
    pub(crate) fn update_mirror(&self, change: impl FnOnce(&mut Mirror)) {
        let (restores, is_lost) = {
            let mut mirror = self.mirror.lock();
            change(&mut mirror);
            (mirror.restores(), !mirror.lost().is_empty())
        };
        self.routing.origins().set_away(Signal::Reads, is_lost, self.routing.now());
        if self.presence.set(is_lost, self.routing.now()) {
            self.routing.origins().changed.notify_one();
        }
        self.changed.send_replace(());
        self.restores.send_if_modified(|known| {
            let is_new = restores > *known;
            *known = restores.max(*known);
            is_new
        });
    }

    /// Returns whether the store is away.
    pub(crate) fn presence(&self) -> &Presence {
        &self.presence
    }

    /// Subscribes to the number of restores of the store that this gateway knows of.
    pub(crate) fn subscribe_restores(&self) -> watch::Receiver<Option<u64>> {
        self.restores.subscribe()
    }

    /// Locks and returns the loads of the other gateways.
    pub(crate) fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock()
    }

    /// Returns the configuration and the endpoints of this gateway.
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// Returns this gateway's own requests. The lock of the exchange must not be held.
    fn own_requests(&self) -> Own {
        Own { loads: self.routing.own_loads(), usage: self.routing.own_usage() }
    }

    fn failures(&self, duty: Duty) -> &Mutex<Failures> {
        match duty {
            Duty::Store => &self.store_failures,
            Duty::Loads => &self.load_failures,
        }
    }

    /// Returns the next changes under a prefix, however long they take.
    async fn next_changes(&self, after: &Cursor) -> Delta {
        let mut changed = self.changed.subscribe();
        loop {
            let delta = self.mirror.lock().delta(after, self.routing.now());
            let is_quiet = matches!(&delta, Delta::Changes { change, .. } if change.is_empty());
            if !is_quiet || changed.changed().await.is_err() {
                return delta;
            }
        }
    }
}

impl Source for Peers {
    fn newer(&self, known: &[Cursor]) -> Answer {
        let mut peers = self.addresses();
        peers.truncate(MAX_ADDRESSES);
        let now = self.routing.now();
        let mirror = self.mirror.lock();
        Answer {
            is_current: mirror.is_current(now),
            snapshots: mirror.newer_than(known, now),
            peers,
        }
    }

    fn changes(&self, after: Cursor, wait: Duration) -> BoxFuture<'_, Delta> {
        let changes = async move {
            match timeout(wait, self.next_changes(&after)).await {
                Ok(delta) => delta,
                Err(_) => self.mirror.lock().delta(&after, self.routing.now()),
            }
        };
        changes.boxed()
    }

    fn report(&self, report: Report, usage: rate_limit::Report) -> Option<(Loads, Usage)> {
        let own = self.own_requests();
        self.exchange.lock().take_member(report, usage, &own, self.routing.now())
    }

    fn swap(
        &self,
        report: Report,
        usage: rate_limit::Report,
    ) -> Option<(Report, rate_limit::Report)> {
        let own = self.own_requests();
        self.exchange.lock().take_hub(report, usage, own, self.routing.now())
    }

    fn report_observations(&self, vm: &str, report: observation::Report) -> observation::Report {
        let (own, now) = (self.routing.own_observations(), self.routing.now());
        let own = self.exchange.lock().take_member_observations(vm, report, &own, now);
        observation::Report { own, members: Observations::default() }
    }

    fn swap_observations(&self, vm: &str, report: observation::Report) -> observation::Report {
        let (own, now) = (self.routing.own_observations(), self.routing.now());
        let mut exchange = self.exchange.lock();
        exchange.record_hub_observations(vm, report, now);
        exchange.observations(own, now)
    }

    fn learn_crashes(&self, crashes: &Digest) {
        self.routing.quarantine().learn(crashes, self.routing.now());
    }

    fn crashes(&self, is_new: bool) -> Digest {
        self.routing.quarantine().digest(is_new, self.routing.now())
    }

    fn learn_streams(&self, streams: &Segment) {
        self.routing.origins().replicas.learn(streams, self.routing.now());
    }

    fn adopt_streams(&self, streams: &Segment) {
        self.routing.origins().adopt(streams, self.routing.now());
    }

    fn persist_streams(&self, streams: &Segment) -> BoxFuture<'_, Pledge> {
        self.routing.origins().persist(streams, self.routing.now()).boxed()
    }

    fn streams(&self) -> Segment {
        self.routing.origins().recent_since(Duration::ZERO, self.routing.now())
    }

    fn look_up_streams(&self, asked: &Segment) -> Segment {
        self.routing.origins().look_up(asked)
    }

    fn attest_streams(&self, asked: &Segment) -> Attestation {
        self.routing.origins().attest(asked, self.routing.now())
    }
}
