//! Whether all outcomes of a load are right answers or truthful refusals.

use std::collections::BTreeMap;

use fleet::Outcome;
use serde_json::Value;

use crate::job::Job;
use crate::load::Ended;
use crate::load::Sender;
use crate::scene::Runs;
use crate::scene::Scene;

/// What came of a load.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Right and whole answers.
    pub right: usize,
    /// Truthful refusals of requests that did not run.
    pub not_run: usize,
    /// Refusals that say that it isn't known.
    pub unknown: usize,
    /// Streams that ended with an event that says so.
    pub cut: usize,
    /// Connections to a lost entry that broke off.
    pub lost: usize,
    /// Kinds of the refusals.
    pub kinds: BTreeMap<String, usize>,
    /// All that must not happen.
    pub faults: Vec<String>,
}

impl Verdict {
    /// Judges a load; connections to the entry that was lost may break off.
    /// Bookings that were not answered are repeated through another entry.
    pub async fn judge(scene: &Scene, ended: &[Ended], lost: Option<usize>) -> Verdict {
        let mut verdict = Verdict::default();
        let runs = scene.runs().await;
        for request in ended {
            verdict.count(request, lost);
            verdict.count_runs(request, &runs);
        }
        verdict.repeat(scene, ended, lost).await;
        eprintln!("{} requests: {verdict:?}", ended.len());
        verdict
    }

    fn count(&mut self, request: &Ended, lost: Option<usize>) {
        if let Outcome::Refused(refusal) = &request.outcome {
            *self.kinds.entry(refusal.kind.clone()).or_default() += 1;
        }
        match &request.outcome {
            Outcome::Answer(answer) if answer.text == request.job.expected() => self.right += 1,
            Outcome::Refused(refusal) if refusal.ran == "no" => self.not_run += 1,
            Outcome::Refused(refusal) if refusal.ran == "unknown" => self.unknown += 1,
            Outcome::Failed(_) if lost == Some(request.entry) => self.lost += 1,
            Outcome::Failed(reason) if says_cut(reason) => self.cut += 1,
            _ => self.faults.push(format!("neither right nor truthful: {request:?}")),
        }
    }

    /// Compares what a caller was told with what the registries counted.
    fn count_runs(&mut self, request: &Ended, runs: &Runs) {
        let Job::Booking { round } = &request.job else { return };
        let runs = runs.of(round);
        let fits = match &request.outcome {
            Outcome::Answer(_) => runs == 1,
            Outcome::Refused(refusal) if refusal.ran == "no" => runs == 0,
            Outcome::Refused(_) | Outcome::Failed(_) => runs <= 1,
        };
        if !fits {
            self.faults.push(format!("{runs} runs: {request:?}"));
        }
    }

    /// Repeats the bookings that were not answered.
    async fn repeat(&mut self, scene: &Scene, ended: &[Ended], lost: Option<usize>) {
        let entry = if lost == Some(0) { 1 } else { 0 };
        let sender = Sender::new(scene);
        for request in ended {
            if request.job.is_booking() && request.outcome.answer().is_none() {
                sender.send(entry, &request.job).await;
            }
        }
        let runs = scene.runs().await;
        for request in ended {
            let Job::Booking { round } = &request.job else { continue };
            if runs.of(round) > 1 {
                self.faults.push(format!("run again when repeated: {request:?}"));
            }
        }
    }
}

/// Whether a stream's error event is a problem that admits to the cut.
fn says_cut(reason: &str) -> bool {
    let problem: Result<Value, _> = serde_json::from_str(reason);
    problem.is_ok_and(|problem| problem["ran"] == "unknown")
}
