//! The record of all requests and faults, from which violated guarantees are found.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

use crate::kind::Kind;

/// Tolerance beyond the route's timeout within which an answer must have ended.
const TIMEOUT_TOLERANCE: Duration = Duration::from_millis(500);

/// Time after a fault during which its effects are tolerated.
const FAULT_EFFECT_TIME: Duration = Duration::from_secs(3);

/// How a request ended, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// With the correct and complete answer.
    Correct,
    /// With a complete answer that has this error status.
    Status(u16),
    /// The connection closed before or within the answer.
    Disconnected,
    /// The client disconnected early on purpose.
    Abandoned,
    /// With an answer that no guarantee allows.
    Incorrect(String),
}

#[derive(Debug, Clone)]
struct Entry {
    kind: Kind,
    sent: Instant,
    ended: Option<(Instant, End)>,
    runs: u32,
}

/// The record of all requests and of the times of faults, shared by its clones.
#[derive(Debug, Clone, Default)]
pub struct Ledger(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<String, Entry>,
    /// Start and end of each unplanned fault.
    faults: Vec<(Instant, Instant)>,
    /// Start and end of the times in which a process was frozen.
    freezes: Vec<(Instant, Instant)>,
    violations: Vec<String>,
}

impl Ledger {
    pub fn record_sent(&self, id: &str, kind: Kind) {
        let entry = Entry { kind, sent: Instant::now(), ended: None, runs: 0 };
        self.0.lock().entries.insert(id.to_owned(), entry);
    }

    /// Records that an endpoint ran a request, of which a violation shows the head.
    pub fn record_run(&self, id: &str, head: &str) {
        let mut state = self.0.lock();
        match state.entries.get_mut(id) {
            Some(entry) => entry.runs += 1,
            None => state
                .violations
                .push(format!("{id}: an endpoint ran a request that no client sent: {head:?}")),
        }
    }

    pub fn record_end(&self, id: &str, end: End) {
        if let Some(entry) = self.0.lock().entries.get_mut(id) {
            entry.ended = Some((Instant::now(), end));
        }
    }

    pub fn record_violation(&self, what: String) {
        self.0.lock().violations.push(what);
    }

    /// Records an unplanned fault that starts now and lasts for `time`.
    pub fn record_fault(&self, time: Duration, is_freeze: bool) {
        let now = Instant::now();
        let mut state = self.0.lock();
        state.faults.push((now, now + time));
        if is_freeze {
            state.freezes.push((now, now + time));
        }
    }

    /// Returns whether no unplanned fault or its effects overlap the time span.
    pub fn is_fault_free(&self, from: Instant, to: Instant) -> bool {
        self.0.lock().is_fault_free(from, to)
    }

    /// Returns the share of correct answers among the requests sent since a time.
    pub fn correct_share(&self, since: Instant) -> f64 {
        let state = self.0.lock();
        let asked = state.entries.values().filter(|entry| entry.sent >= since);
        let ends: Vec<bool> = asked
            .filter_map(|entry| entry.ended.as_ref())
            .filter(|(_, end)| *end != End::Abandoned)
            .map(|(_, end)| *end == End::Correct)
            .collect();
        let correct = ends.iter().filter(|is_correct| **is_correct).count();
        correct as f64 / ends.len().max(1) as f64
    }

    /// Returns a description of each violated guarantee.
    pub fn violations(&self) -> Vec<String> {
        let state = self.0.lock();
        let found = state.entries.iter().filter_map(|(id, entry)| {
            state
                .violation_of(entry)
                .map(|what| format!("{id} {:?}: {what}; {entry:?}", entry.kind))
        });
        state.violations.iter().cloned().chain(found).collect()
    }

    /// Returns the number of requests by how they ended, as text.
    pub fn counts(&self) -> String {
        let state = self.0.lock();
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for entry in state.entries.values() {
            let end = entry.ended.as_ref().map_or("none".to_owned(), |(_, end)| format!("{end:?}"));
            *counts.entry(end).or_default() += 1;
        }
        format!("{counts:?}")
    }
}

impl State {
    fn is_fault_free(&self, from: Instant, to: Instant) -> bool {
        self.faults.iter().all(|(begin, end)| to < *begin || *end + FAULT_EFFECT_TIME < from)
    }

    /// Returns which guarantee a request violated, if any.
    fn violation_of(&self, entry: &Entry) -> Option<String> {
        if !entry.kind.is_repeatable() && entry.runs > 1 {
            return Some(format!("ran {} times", entry.runs));
        }
        let (at, end) = entry.ended.as_ref()?;
        let is_frozen = self.freezes.iter().any(|(from, to)| *from <= *at && entry.sent <= *to);
        let took = *at - entry.sent;
        if took > entry.kind.timeout() + TIMEOUT_TOLERANCE && !is_frozen {
            return Some(format!("took {took:?}"));
        }
        match end {
            End::Incorrect(what) => Some(what.clone()),
            End::Status(503 | 429) if entry.runs > 0 && !entry.kind.is_repeatable() => {
                Some("refused as not run, and ran".to_owned())
            }
            End::Disconnected | End::Status(502 | 504) if self.is_fault_free(entry.sent, *at) => {
                Some("lost without a fault".to_owned())
            }
            _ => None,
        }
    }
}
