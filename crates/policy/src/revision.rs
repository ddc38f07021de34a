//! Selection of the configuration revision that a process applies next.
//!
//! A process only applies a revision higher than the one in force. A starting
//! process asks the key-value service and some peers before it applies its first
//! revision, so that a service that was restored to an old state doesn't make it
//! apply an outdated one. See `docs/decisions/configuration.md`.

mod jitter;
pub mod watchers;

use std::time::Duration;

pub use jitter::first_read_delay;
use wire::id;

/// Number of peers whose revision a starting process has to know before it applies one.
const START_PEERS: usize = 3;

/// Longest time that a starting process waits for peers and the key-value service.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Most peers that are remembered as having a newer revision.
const NEWER_PEERS_MAX: usize = 8;

/// State machine that tracks the known revisions and selects the next to apply.
#[derive(Debug, Clone)]
pub struct Tracker {
    in_force: id::Revision,
    service: Service,
    /// The last revision that the service reported.
    shown: Option<id::Revision>,
    /// The revision whose document is missing in the service or differs from its digest.
    broken: Option<id::Revision>,
    /// Peers with a revision above the one in force, the highest first.
    newer_peers: Vec<Peer>,
    /// The first peers that reported a revision since the start, sorted.
    heard: Vec<id::Vm>,
    start: Duration,
}

/// State of the calls to the key-value service since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Service {
    Unasked,
    Failed,
    Answered,
}

/// A peer with a newer revision.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Peer {
    vm: id::Vm,
    revision: id::Revision,
}

/// The next action of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Keep the revision in force, the newest known.
    Keep,
    /// Wait for the key-value service and more peers, since the process is starting.
    Gather,
    /// Read this revision's document from the key-value service.
    Fetch(id::Revision),
    /// Ask this peer for its document.
    Pull(id::Vm),
}

/// A document that was received and could be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// Its revision.
    pub revision: id::Revision,
    /// Where it came from.
    pub source: Source,
    /// Whether its digest and revision match those that were confirmed.
    pub is_intact: bool,
}

/// The origin of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The key-value service.
    Service,
    /// A peer.
    Peer(id::Vm),
}

/// A state of the configuration that needs an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Warning {
    /// the key-value service shows revision {0} but {1} is in force: it was set back; confirm what is in force anew
    Behind(id::Revision, id::Revision),
    /// the document of revision {0} is missing or differs from its digest: confirm a new revision
    Broken(id::Revision),
}

impl Tracker {
    /// Returns the state of a process that starts at `start` with no revision in force.
    pub fn new(start: Duration) -> Tracker {
        Tracker {
            in_force: 0,
            service: Service::Unasked,
            shown: None,
            broken: None,
            newer_peers: Vec::new(),
            heard: Vec::new(),
            start,
        }
    }

    /// Returns the revision in force, 0 if none.
    pub fn in_force(&self) -> id::Revision {
        self.in_force
    }

    /// Records the revision of the head that the key-value service reports, 0 if it has none.
    ///
    /// A document found broken is tried again after each report: a service that was
    /// restored to an old state may hold another document at the same revision.
    pub fn record_head(&mut self, revision: id::Revision) {
        self.service = Service::Answered;
        self.broken = None;
        self.shown = Some(revision);
    }

    /// Records that the key-value service gave no answer.
    pub fn record_service_failure(&mut self) {
        if self.service == Service::Unasked {
            self.service = Service::Failed;
        }
    }

    /// Records the revision that a peer reports.
    pub fn record_peer(&mut self, vm: &str, revision: id::Revision) {
        self.record_heard(vm);
        self.newer_peers.retain(|peer| peer.vm != vm);
        if revision <= self.in_force {
            return;
        }
        let index = self.newer_peers.partition_point(|peer| peer.revision >= revision);
        self.newer_peers.insert(index, Peer { vm: vm.to_owned(), revision });
        self.newer_peers.truncate(NEWER_PEERS_MAX);
    }

    /// Records that a peer gave no answer or no document.
    pub fn record_peer_failure(&mut self, vm: &str) {
        self.newer_peers.retain(|peer| peer.vm != vm);
    }

    /// Returns whether some peer is known to have a newer revision.
    pub fn has_newer_peer(&self) -> bool {
        !self.newer_peers.is_empty()
    }

    /// Returns the next action; `known` is the number of other members.
    pub fn next_action(&self, known: usize, now: Duration) -> Action {
        if self.is_gathering(known, now) {
            return Action::Gather;
        }
        let offered = self.shown.filter(|shown| self.broken != Some(*shown)).unwrap_or_default();
        let peer = self.newer_peers.first();
        let held = peer.map_or(0, |peer| peer.revision);
        if offered.max(held) <= self.in_force {
            return Action::Keep;
        }
        match peer {
            Some(peer) if held >= offered => Action::Pull(peer.vm.clone()),
            _ => Action::Fetch(offered),
        }
    }

    /// Checks a received document and returns whether to apply it; if so, its revision
    /// counts as in force.
    pub fn accept(&mut self, offer: &Offer) -> bool {
        if !offer.is_intact {
            self.reject(offer);
            return false;
        }
        if offer.revision <= self.in_force {
            return false;
        }
        self.in_force = offer.revision;
        self.newer_peers.retain(|peer| peer.revision > offer.revision);
        true
    }

    /// Returns the state that needs an operator, if there is one.
    pub fn warning(&self) -> Option<Warning> {
        let shown = self.shown?;
        if shown < self.in_force {
            return Some(Warning::Behind(shown, self.in_force));
        }
        self.broken.filter(|broken| *broken > self.in_force).map(Warning::Broken)
    }

    /// Returns whether a starting process still waits for the service or peers before it
    /// applies its first revision.
    ///
    /// Only during this wait does a process exchange beats with all its neighbours each
    /// time. If the fleet has no configuration yet, it needn't go on with that: peers
    /// announce the first revision at once.
    pub fn is_gathering(&self, known: usize, now: Duration) -> bool {
        if self.in_force > 0 || now.saturating_sub(self.start) >= START_TIMEOUT {
            return false;
        }
        self.service == Service::Unasked || self.heard.len() < START_PEERS.min(known)
    }

    /// Ignores the source of a broken document until it reports a revision again.
    fn reject(&mut self, offer: &Offer) {
        match &offer.source {
            Source::Service => self.broken = Some(offer.revision),
            Source::Peer(vm) => self.record_peer_failure(vm),
        }
    }

    /// Records that a peer reported a revision since the start.
    fn record_heard(&mut self, vm: &str) {
        if self.heard.len() >= START_PEERS {
            return;
        }
        if let Err(index) = self.heard.binary_search_by(|heard| heard.as_str().cmp(vm)) {
            self.heard.insert(index, vm.to_owned());
        }
    }
}
