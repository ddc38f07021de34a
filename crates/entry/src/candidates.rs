//! The engines that hold the model or pool that a request needs.

use std::net::SocketAddr;

use board::Identity;
use policy::candidate::Candidate;
use policy::candidate::Edition;
use policy::outlier::Verdict;
use wire::Member;
use wire::id;

use crate::worker::Worker;

/// Candidate engines and, at the same index, the agent of each.
pub(crate) struct Candidates {
    pub(crate) engines: Vec<Candidate>,
    pub(crate) agents: Vec<Agent>,
}

/// Address and state of an engine's agent.
pub(crate) struct Agent {
    pub(crate) address: SocketAddr,
    pub(crate) edition: Edition,
    /// Whether the next request to it is the probe that ends or extends its ejection.
    is_probe: bool,
}

impl Candidates {
    /// Returns all live engines that hold a model or pool and are assigned it, also those
    /// that must not be chosen now.
    pub(crate) fn new(worker: &Worker, needs: &str) -> Candidates {
        let board = worker.board();
        let Identity { centre, region, .. } = board.identity();
        let pair = |member: &Member| (Candidate::of(member, centre, region), Agent::of(member));
        let document = board.document();
        let (mut engines, agents): (Vec<Candidate>, Vec<Agent>) = board.with_roster(|roster| {
            let eligible_holders = roster.eligible_holders(needs, |vm| document.holds(vm));
            eligible_holders.into_iter().map(pair).unzip()
        });
        let loads = worker.tables.loads.lock();
        for candidate in &mut engines {
            let load = loads.load(&candidate.engine, board.now());
            candidate.update_load(load);
        }
        Candidates { engines, agents }
    }

    /// Removes engines that were tried, are avoided or are ejected as outliers.
    pub(crate) fn retain_available(&mut self, worker: &Worker, needs: &str, tried: &[id::Engine]) {
        let mut keep = self.check_ejections(worker);
        self.exclude_avoided(worker, needs, &mut keep);
        for (candidate, keep) in self.engines.iter().zip(&mut keep) {
            *keep &= !tried.contains(&candidate.engine);
        }
        let mut kept = keep.iter();
        self.engines.retain(|_| kept.next() == Some(&true));
        let mut kept = keep.iter();
        self.agents.retain(|_| kept.next() == Some(&true));
    }

    /// Returns whether a request may be sent to an engine. An ejected engine admits one
    /// request as its probe, which this call claims.
    pub(crate) fn try_admit(&self, worker: &Worker, index: usize) -> bool {
        if !self.agents[index].is_probe {
            return true;
        }
        let now = worker.board().now();
        worker.tables.outliers.lock().try_probe(&self.engines[index].engine, now)
    }

    /// Returns for each engine whether it isn't ejected, and marks those that are due a
    /// probe.
    fn check_ejections(&mut self, worker: &Worker) -> Vec<bool> {
        let now = worker.board().now();
        let names: Vec<&str> =
            self.engines.iter().map(|candidate| candidate.engine.as_str()).collect();
        let verdicts = worker.tables.outliers.lock().verdicts(&names, now);
        for (agent, verdict) in self.agents.iter_mut().zip(&verdicts) {
            agent.is_probe = *verdict == Verdict::Probe;
        }
        verdicts.iter().map(|verdict| *verdict != Verdict::Ejected).collect()
    }

    fn exclude_avoided(&self, worker: &Worker, needs: &str, keep: &mut [bool]) {
        let now = worker.board().now();
        let avoided = worker.tables.avoided.lock();
        for (index, keep) in keep.iter_mut().enumerate() {
            let engine = &self.engines[index].engine;
            *keep &= !avoided.is_avoided(engine, self.agents[index].edition, needs, now);
        }
    }
}

impl Agent {
    fn of(member: &Member) -> Agent {
        Agent { address: member.data, edition: Edition::of(member), is_probe: false }
    }
}
