//! The evacuations that a gateway knows.

use std::mem;
use std::time::Duration;

use crate::evacuation::Cause;
use crate::evacuation::Centre;
use crate::evacuation::Change;
use crate::evacuation::Request;

/// How long a cancelled evacuation is remembered: the copies from which stores come back are some
/// seconds old.
const CANCELLED_TTL: Duration = Duration::from_secs(60);

/// Most cancelled evacuations that are remembered. Operators of the largest deployments have a few
/// data centres.
const MAX_CANCELLED: usize = 64;

/// The evacuations that a gateway knows, and those that were cancelled lately.
#[derive(Debug)]
pub struct Register {
    grace_time: Duration,
    /// Number of restores of the store before the keys were last read; `None` if they never were.
    restores: Option<u64>,
    /// Sorted by data centre.
    known: Vec<Known>,
    /// With the times at which they were cancelled, in this order.
    cancelled: Vec<(Request, Duration)>,
}

/// A known evacuation.
#[derive(Debug)]
struct Known {
    request: Request,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Its key is in the store.
    Present,
    /// In force though its key is missing, until this time; `None` while the store is lost.
    Missing(Option<Duration>),
    /// Not in force until this time, as it was cancelled before the store came back with its key.
    Held(Duration),
}

impl State {
    fn is_evacuated(self) -> bool {
        !matches!(self, State::Held(_))
    }
}

impl Register {
    /// Creates a register without evacuations. The grace time is how long operators need to repeat
    /// their writes once the store is back.
    pub fn new(grace_time: Duration) -> Register {
        Register { grace_time, restores: None, known: Vec::new(), cancelled: Vec::new() }
    }

    /// Whether no evacuation is in force or may begin by itself.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether a data centre is evacuated.
    pub fn is_evacuated(&self, centre: &str) -> bool {
        self.find(centre).is_ok_and(|index| self.known[index].state.is_evacuated())
    }

    /// Returns the evacuated data centres, sorted.
    pub fn evacuated(&self) -> impl Iterator<Item = &Centre> {
        let evacuated = self.known.iter().filter(|known| known.state.is_evacuated());
        evacuated.map(|known| &known.request.centre)
    }

    /// Returns the numbers of evacuations that are in force though their keys are missing, and of
    /// those that are not though their keys are there.
    pub fn undecided(&self) -> (usize, usize) {
        let count = |is_kind: fn(State) -> bool| {
            self.known.iter().filter(|known| is_kind(known.state)).count()
        };
        let missing = count(|state| matches!(state, State::Missing(_)));
        (missing, count(|state| !state.is_evacuated()))
    }

    /// Applies a listing of all keys, read after a number of restores of the store.
    pub fn replace(
        &mut self,
        listed: Vec<Request>,
        restores: u64,
        after_outage: bool,
        now: Duration,
    ) -> Vec<Change> {
        let is_restored = self.restores.is_some_and(|known| restores > known);
        self.restores = Some(restores.max(self.restores.unwrap_or_default()));
        let until = now.saturating_add(self.grace_time);
        let has_grace = after_outage || is_restored;
        let is_listed =
            |known: &Known| listed.iter().any(|other| other.centre == known.request.centre);
        let mut over = Vec::new();
        for known in self.known.iter_mut().filter(|known| !is_listed(known)) {
            match known.state {
                State::Missing(_) => known.state = State::Missing(Some(until)),
                State::Present if has_grace => known.state = State::Missing(Some(until)),
                State::Present | State::Held(_) => over.push(known.request.centre.clone()),
            }
        }
        let mut changes: Vec<Change> =
            over.iter().filter_map(|centre| self.end(centre, Cause::Missing, now)).collect();
        for request in listed {
            let is_stale = self.is_held(&request) || (is_restored && self.is_stale(&request, now));
            match is_stale {
                true => self.hold(request, until),
                false => changes.extend(self.begin(request, Cause::Listed)),
            }
        }
        changes
    }

    /// Applies a key that was written.
    pub fn add(&mut self, request: Request) -> Option<Change> {
        self.begin(request, Cause::Written)
    }

    /// Applies a key that was removed.
    pub fn remove(&mut self, centre: &str, now: Duration) -> Option<Change> {
        self.end(centre, Cause::Removed, now)
    }

    /// Records that the store is lost: what is missing stays in force until it can be read again.
    pub fn suspend(&mut self) {
        for known in &mut self.known {
            if matches!(known.state, State::Missing(_)) {
                known.state = State::Missing(None);
            }
        }
    }

    /// Applies the ends of grace times.
    pub fn settle(&mut self, now: Duration) -> Vec<Change> {
        let is_over = |until: Duration| now >= until;
        let mut ended = Vec::new();
        let mut changes = Vec::new();
        for known in &mut self.known {
            let centre = known.request.centre.clone();
            match known.state {
                State::Missing(Some(until)) if is_over(until) => ended.push(centre),
                State::Held(until) if is_over(until) => {
                    known.state = State::Present;
                    let cause = Cause::NotRemovedAgain;
                    changes.push(Change { centre, is_evacuated: true, cause });
                }
                _ => {}
            }
        }
        let ended = ended.iter().filter_map(|it| self.end(it, Cause::NotWrittenAgain, now));
        changes.extend(ended);
        changes
    }

    /// Whether a request is the one that is held.
    fn is_held(&self, request: &Request) -> bool {
        self.find(&request.centre).is_ok_and(|index| {
            let known = &self.known[index];
            known.request == *request && matches!(known.state, State::Held(_))
        })
    }

    /// Whether a request was cancelled lately and is not in force.
    fn is_stale(&self, request: &Request, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < CANCELLED_TTL;
        !self.is_evacuated(&request.centre)
            && self.cancelled.iter().any(|(known, at)| known == request && is_recent(*at))
    }

    /// Holds a request until a time, unless it is held already.
    fn hold(&mut self, request: Request, until: Duration) {
        if let Err(index) = self.find(&request.centre) {
            self.known.insert(index, Known { request, state: State::Held(until) });
        }
    }

    /// Puts a request in force. Returns the change if the data centre was not evacuated.
    fn begin(&mut self, request: Request, cause: Cause) -> Option<Change> {
        let centre = request.centre.clone();
        let known = Known { request, state: State::Present };
        let was_evacuated = match self.find(&centre) {
            Ok(index) => mem::replace(&mut self.known[index], known).state.is_evacuated(),
            Err(index) => {
                self.known.insert(index, known);
                false
            }
        };
        (!was_evacuated).then_some(Change { centre, is_evacuated: true, cause })
    }

    /// Forgets an evacuation. Returns the change if it was in force.
    fn end(&mut self, centre: &str, cause: Cause, now: Duration) -> Option<Change> {
        let Known { request, state } = self.known.remove(self.find(centre).ok()?);
        let centre = request.centre.clone();
        self.cancelled.retain(|(known, at)| {
            known.centre != centre && now.saturating_sub(*at) < CANCELLED_TTL
        });
        self.cancelled.push((request, now));
        let excess = self.cancelled.len().saturating_sub(MAX_CANCELLED);
        self.cancelled.drain(..excess);
        state.is_evacuated().then_some(Change { centre, is_evacuated: false, cause })
    }

    fn find(&self, centre: &str) -> Result<usize, usize> {
        self.known.binary_search_by(|known| (*known.request.centre).cmp(centre))
    }
}
