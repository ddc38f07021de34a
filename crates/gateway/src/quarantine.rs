//! The parts of prompts that crash endpoints, as this gateway knows them.

use std::time::Duration;

use parking_lot::Mutex;
use policy::quarantine;
use policy::quarantine::Block;
use policy::quarantine::Digest;
use policy::quarantine::Register;
use policy::quarantine::StartId;
use policy::quarantine::Suspect;
use route::Endpoint;

use crate::record;

/// The register of crashes behind a lock, with log lines of its changes.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    register: Mutex<Register>,
}

impl Quarantine {
    /// Returns how long requests like this one are refused; `None` if it may be sent.
    pub(crate) fn blocked_for(&self, request: &Suspect, now: Duration) -> Option<Duration> {
        self.register.lock().blocked_for(request, now)
    }

    /// Records that a request succeeded.
    pub(crate) fn record_success(&self, request: &Suspect, now: Duration) {
        self.update(|register| register.record_success(request, now));
    }

    /// Records that a request broke off at an endpoint. Returns whether it should be checked if
    /// the endpoint has crashed.
    pub(crate) fn record_broken(
        &self,
        endpoint: &Endpoint,
        request: Suspect,
        begun: Option<Duration>,
        now: Duration,
    ) -> bool {
        let start = start_id(endpoint);
        self.update(|register| register.record_broken(start, request, begun, now))
    }

    /// Records that an endpoint has crashed.
    pub(crate) fn confirm(&self, endpoint: &Endpoint, now: Duration) {
        let is_new = self.update(|register| register.confirm(start_id(endpoint), now));
        if is_new {
            record::crash(endpoint);
        }
    }

    /// Returns what another gateway should know.
    pub(crate) fn digest(&self, is_new: bool, now: Duration) -> Digest {
        self.register.lock().digest(is_new, now)
    }

    /// Learns what another gateway knows.
    pub(crate) fn learn(&self, digest: &Digest, now: Duration) {
        if !digest.is_empty() {
            self.update(|register| register.learn(digest, now));
        }
    }

    /// Returns the parts of each block, with the crashes for which they are blamed.
    pub(crate) fn evidence(&self) -> Vec<(Suspect, Vec<StartId>)> {
        let register = self.register.lock();
        register.blocks().iter().filter_map(|block| register.evidence(block)).collect()
    }

    /// Changes the register, and records changes of the blocks.
    fn update<T>(&self, change: impl FnOnce(&mut Register) -> T) -> T {
        let mut register = self.register.lock();
        let before: Vec<Block> = register.blocks().to_vec();
        let changed = change(&mut register);
        let after = register.blocks();
        let is_in =
            |blocks: &[Block], block: &Block| blocks.iter().any(|other| other.parts == block.parts);
        for block in after.iter().filter(|block| !is_in(&before, block)) {
            record::block(block, true);
        }
        for block in before.iter().filter(|block| !is_in(after, block)) {
            record::block(block, false);
        }
        if before.len() != after.len() {
            record::blocks(after.len());
        }
        changed
    }
}

/// Returns the id of an endpoint's start.
pub(crate) fn start_id(endpoint: &Endpoint) -> StartId {
    quarantine::start_id(&endpoint.id, endpoint.started_ms)
}
