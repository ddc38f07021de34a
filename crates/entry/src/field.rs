//! The engines that hold what a request needs.

use std::net::SocketAddr;

use board::Identity;
use policy::candidate::Candidate;
use policy::candidate::Edition;
use policy::outlier::Verdict;
use wire::Member;
use wire::id;

use crate::worker::Worker;

/// Candidates and, at the same index, how to reach each.
pub(crate) struct Field {
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) agents: Vec<Agent>,
}

/// How to reach an engine's agent.
pub(crate) struct Agent {
    pub(crate) data: SocketAddr,
    pub(crate) edition: Edition,
    /// Whether the next request to it has to be its probe.
    is_probe: bool,
}

impl Field {
    /// All live engines that hold a model or pool and keep it, also those not to be chosen now.
    pub(crate) fn new(worker: &Worker, needs: &str) -> Field {
        let board = worker.board();
        let Identity { centre, region, .. } = board.identity();
        let entry = |member: &Member| (Candidate::of(member, centre, region), Agent::of(member));
        let document = board.document();
        let (mut candidates, agents): (Vec<Candidate>, Vec<Agent>) = board.with_roster(|roster| {
            let keepers = roster.keepers(needs, |vm| document.holds(vm));
            keepers.into_iter().map(entry).unzip()
        });
        let loads = worker.tables.loads.lock();
        for candidate in &mut candidates {
            let load = loads.load(&candidate.engine, board.now());
            candidate.update_load(load);
        }
        Field { candidates, agents }
    }

    /// Drops engines that were tried, are avoided or left out.
    pub(crate) fn keep_open(&mut self, worker: &Worker, needs: &str, tried: &[id::Engine]) {
        let mut keep = self.verdicts(worker);
        self.drop_avoided(worker, needs, &mut keep);
        for (candidate, keep) in self.candidates.iter().zip(&mut keep) {
            *keep &= !tried.contains(&candidate.engine);
        }
        let mut kept = keep.iter();
        self.candidates.retain(|_| kept.next() == Some(&true));
        let mut kept = keep.iter();
        self.agents.retain(|_| kept.next() == Some(&true));
    }

    /// Whether a request may go to an engine; one that was left out takes one as its probe.
    pub(crate) fn may_send(&self, worker: &Worker, index: usize) -> bool {
        if !self.agents[index].is_probe {
            return true;
        }
        let now = worker.board().now();
        worker.tables.outliers.lock().try_probe(&self.candidates[index].engine, now)
    }

    /// Whether each engine is not left out; notes which ones are to be probed.
    fn verdicts(&mut self, worker: &Worker) -> Vec<bool> {
        let now = worker.board().now();
        let names: Vec<&str> =
            self.candidates.iter().map(|candidate| candidate.engine.as_str()).collect();
        let verdicts = worker.tables.outliers.lock().verdicts(&names, now);
        for (agent, verdict) in self.agents.iter_mut().zip(&verdicts) {
            agent.is_probe = *verdict == Verdict::Probe;
        }
        verdicts.iter().map(|verdict| *verdict != Verdict::Ejected).collect()
    }

    fn drop_avoided(&self, worker: &Worker, needs: &str, keep: &mut [bool]) {
        let now = worker.board().now();
        let avoided = worker.tables.avoided.lock();
        for (index, keep) in keep.iter_mut().enumerate() {
            let engine = &self.candidates[index].engine;
            *keep &= !avoided.is_avoided(engine, self.agents[index].edition, needs, now);
        }
    }
}

impl Agent {
    fn of(member: &Member) -> Agent {
        Agent { data: member.data, edition: Edition::of(member), is_probe: false }
    }
}
