//! What clients and endpoints saw, and which promises that breaks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

use crate::kind::Kind;

/// After the route's time an answer is due within this.
const LATE: Duration = Duration::from_millis(500);

/// The effects of a fault may last so long after it.
const AFTERMATH: Duration = Duration::from_secs(3);

/// What came of a request, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The right answer, whole.
    Right,
    /// A final answer with this status that is no success.
    Status(u16),
    /// The connection ended without one, or within it.
    Cut,
    /// The client left.
    Left,
    /// Something that no promise allows.
    Wrong(String),
}

#[derive(Debug, Clone)]
struct Entry {
    kind: Kind,
    sent: Instant,
    ended: Option<(Instant, End)>,
    runs: u32,
}

/// All requests, and the spans of the faults.
#[derive(Debug, Clone, Default)]
pub struct Ledger(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<String, Entry>,
    /// Unplanned faults, from when to when.
    faults: Vec<(Instant, Instant)>,
    /// Spans in which processes stood still.
    freezes: Vec<(Instant, Instant)>,
    broken: Vec<String>,
}

impl Ledger {
    pub fn sent(&self, id: &str, kind: Kind) {
        let entry = Entry { kind, sent: Instant::now(), ended: None, runs: 0 };
        self.0.lock().entries.insert(id.to_owned(), entry);
    }

    pub fn ran(&self, id: &str) {
        let mut state = self.0.lock();
        match state.entries.get_mut(id) {
            Some(entry) => entry.runs += 1,
            None => state.broken.push(format!("{id}: an endpoint ran what no client sent")),
        }
    }

    pub fn ended(&self, id: &str, end: End) {
        if let Some(entry) = self.0.lock().entries.get_mut(id) {
            entry.ended = Some((Instant::now(), end));
        }
    }

    pub fn broke(&self, what: String) {
        self.0.lock().broken.push(what);
    }

    /// Takes in a fault that nobody asked for.
    pub fn fault(&self, time: Duration, is_freeze: bool) {
        let now = Instant::now();
        let mut state = self.0.lock();
        state.faults.push((now, now + time));
        if is_freeze {
            state.freezes.push((now, now + time));
        }
    }

    /// Whether no unplanned fault reached into a span.
    pub fn is_calm(&self, from: Instant, to: Instant) -> bool {
        self.0.lock().is_calm(from, to)
    }

    /// The share of requests since a time that were answered rightly.
    pub fn share_right(&self, since: Instant) -> f64 {
        let state = self.0.lock();
        let asked = state.entries.values().filter(|entry| entry.sent >= since);
        let ends: Vec<bool> = asked
            .filter_map(|entry| entry.ended.as_ref())
            .filter(|(_, end)| *end != End::Left)
            .map(|(_, end)| *end == End::Right)
            .collect();
        let right = ends.iter().filter(|is_right| **is_right).count();
        right as f64 / ends.len().max(1) as f64
    }

    /// The promises that were broken, one a line.
    pub fn verdict(&self) -> Vec<String> {
        let state = self.0.lock();
        let found = state.entries.iter().filter_map(|(id, entry)| {
            state.fault_of(entry).map(|what| format!("{id} {:?}: {what}; {entry:?}", entry.kind))
        });
        state.broken.iter().cloned().chain(found).collect()
    }

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
    fn is_calm(&self, from: Instant, to: Instant) -> bool {
        self.faults.iter().all(|(begin, end)| to < *begin || *end + AFTERMATH < from)
    }

    fn fault_of(&self, entry: &Entry) -> Option<String> {
        if !entry.kind.is_repeatable() && entry.runs > 1 {
            return Some(format!("ran {} times", entry.runs));
        }
        let (at, end) = entry.ended.as_ref()?;
        let is_frozen = self.freezes.iter().any(|(from, to)| *from <= *at && entry.sent <= *to);
        let took = *at - entry.sent;
        if took > entry.kind.time() + LATE && !is_frozen {
            return Some(format!("took {took:?}"));
        }
        match end {
            End::Wrong(what) => Some(what.clone()),
            End::Status(503 | 429) if entry.runs > 0 && !entry.kind.is_repeatable() => {
                Some("refused as not run, and ran".to_owned())
            }
            End::Cut | End::Status(502 | 504) if self.is_calm(entry.sent, *at) => {
                Some("lost without a fault".to_owned())
            }
            _ => None,
        }
    }
}
