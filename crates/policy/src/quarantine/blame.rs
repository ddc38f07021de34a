//! Which parts are blamed for crashes.

use std::cmp::Reverse;
use std::time::Duration;

use crate::quarantine::Crash;
use crate::quarantine::PartId;
use crate::quarantine::Successes;
use crate::quarantine::Suspect;
use crate::quarantine::is_content;

/// Moments of crashes after which a part is blamed. Any request may be at one endpoint that crashes
/// and, sent again, at a second one.
const MIN_MOMENTS: usize = 3;

/// Crashes within this time of the first of them are one moment. Endpoints that crash together
/// have a cause in common, such as their rack, and popular parts are at many of them.
const MOMENT: Duration = Duration::from_millis(100);

/// The same for a crash at which a part was only with requests that had been sent again, so that it
/// came after another crash: a request can't reach the next endpoint and crash it any sooner.
const REPEATED_MOMENT: Duration = Duration::from_millis(20);

/// Endpoints that crash within this time of each other may have a cause in common. It is longer
/// than a moment by the error of times that gateways tell each other.
const NEIGHBOUR_TIME: Duration = Duration::from_millis(200);

/// Crashes after which each part that was at all of them is blamed, as no more endpoints may be
/// lost until it is known which one it is.
const MANY_CRASHES: usize = 5;

/// How long a crash counts. A part that was blamed is tried again when its crashes no longer
/// count, and blamed again after one more.
pub(crate) const CRASH_TTL: Duration = Duration::from_secs(600);

/// Parts that crash endpoints when a request has all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// Sorted.
    pub parts: Vec<PartId>,
    /// When requests with them are accepted again, by the clock of the crashes.
    pub until: Duration,
}

impl Block {
    /// Whether a request has all of the parts.
    pub fn applies_to(&self, request: &Suspect) -> bool {
        self.parts.iter().all(|part| request.contains(*part))
    }
}

/// Returns the parts that are blamed for crashes.
///
/// The part that was at most crashes is blamed for all of these, so that sound requests that
/// were there as well are not: they would have to be at several others too. All is worked out
/// anew each time, so a wrong choice among parts that were at the same crashes ends with the next
/// one.
pub fn blame(crashes: &[Crash], successes: &Successes) -> Vec<Block> {
    let mut open: Vec<&Crash> = crashes.iter().collect();
    let mut blocks = Vec::new();
    while let Some(part) = worst_part(&open, successes) {
        let all = open.clone();
        let (caused, rest): (Vec<&Crash>, Vec<&Crash>) =
            open.into_iter().partition(|crash| is_suspected(part, crash, successes));
        blocks.push(block(part, &caused, &all, successes));
        if caused.len() >= MANY_CRASHES {
            add_others(&mut blocks, &caused, successes);
        }
        open = rest;
    }
    blocks
}

/// Adds the blocks of the other parts that were at all of these crashes.
fn add_others(blocks: &mut Vec<Block>, crashes: &[&Crash], successes: &Successes) {
    let Some(first) = crashes.first() else { return };
    for part in first.suspects().iter().flat_map(Suspect::parts).copied() {
        let is_known = blocks.iter().any(|block| block.parts.contains(&part));
        if !is_known && crashes.iter().all(|crash| is_suspected(part, crash, successes)) {
            blocks.push(block(part, crashes, crashes, successes));
        }
    }
}

/// Returns the part that was at most crashes, if these are enough to blame it. Among several it
/// is the one with the fewest requests there: it explains as much, and fewer sound requests are
/// likely to have it.
fn worst_part(crashes: &[&Crash], successes: &Successes) -> Option<PartId> {
    let mut counts: Vec<Count<'_>> = Vec::new();
    for crash in crashes {
        let suspects = crash.suspects().iter();
        let mut parts: Vec<PartId> = suspects.flat_map(Suspect::parts).copied().collect();
        parts.sort_unstable();
        for same in parts.chunk_by(|left, right| left == right) {
            let part = same[0];
            if successes.clears(part, crash) {
                continue;
            }
            let index = counts.binary_search_by_key(&part, |count| count.part);
            let index = index.unwrap_or_else(|index| {
                counts.insert(index, Count { part, crashes: Vec::new(), requests: 0 });
                index
            });
            counts[index].crashes.push(crash);
            counts[index].requests += same.len();
        }
    }
    let may_be_enough = counts.into_iter().filter(|count| count.crashes.len() >= MIN_MOMENTS);
    let enough = may_be_enough
        .filter(|count| moments(count.part, &count.crashes, crashes).len() >= MIN_MOMENTS);
    let worst =
        enough.max_by_key(|count| (count.crashes.len(), Reverse(count.requests), !count.part));
    worst.map(|count| count.part)
}

/// The crashes at which a part was.
struct Count<'a> {
    part: PartId,
    crashes: Vec<&'a Crash>,
    /// Requests with the part at these crashes.
    requests: usize,
}

/// Returns when the moments began at which a part was at crashes, in their order. `all` are the
/// crashes of all parts.
fn moments(part: PartId, crashes: &[&Crash], all: &[&Crash]) -> Vec<Duration> {
    let mut ordered = crashes.to_vec();
    ordered.sort_by_key(|crash| crash.at);
    let mut moments: Vec<Duration> = Vec::new();
    for crash in ordered {
        let distance = min_distance(part, crash, all);
        if moments.last().is_none_or(|begin| crash.at.saturating_sub(*begin) >= distance) {
            moments.push(crash.at);
        }
    }
    moments
}

/// Returns how long after the begin of the moment before it a crash at which a part was is a moment
/// of its own.
fn min_distance(part: PartId, crash: &Crash, all: &[&Crash]) -> Duration {
    let mut with_part = crash.suspects().iter().filter(|suspect| suspect.contains(part));
    let is_repeated = with_part.all(Suspect::is_repeated);
    if !(is_repeated || is_content(part)) || !is_alone(part, crash, all) {
        MOMENT
    } else if is_repeated {
        REPEATED_MOMENT
    } else {
        // The same request came to several endpoints, all of which crashed.
        Duration::ZERO
    }
}

/// Whether a part was at all crashes around the time of one, so that they have no other cause in
/// common.
fn is_alone(part: PartId, crash: &Crash, all: &[&Crash]) -> bool {
    let neighbours = all.iter().filter(|it| it.at.abs_diff(crash.at) < NEIGHBOUR_TIME);
    let mut suspects = neighbours.map(|neighbour| neighbour.suspects());
    suspects.all(|suspects| suspects.iter().any(|suspect| suspect.contains(part)))
}

/// Whether a part may have caused a crash.
fn is_suspected(part: PartId, crash: &Crash, successes: &Successes) -> bool {
    let is_there = crash.suspects().iter().any(|suspect| suspect.contains(part));
    is_there && !successes.clears(part, crash)
}

/// Returns the block of a part together with those that were in all requests with it and that
/// may have caused the crashes as well: sound requests may have one of them alone.
fn block(part: PartId, caused: &[&Crash], all: &[&Crash], successes: &Successes) -> Block {
    let requests = caused.iter().flat_map(|crash| crash.suspects());
    let requests: Vec<&Suspect> = requests.filter(|suspect| suspect.contains(part)).collect();
    let is_in_all = |other: &PartId| {
        requests.iter().all(|suspect| suspect.contains(*other))
            && caused.iter().all(|crash| !successes.clears(*other, crash))
    };
    let candidates = requests.first().map_or(&[][..], |suspect| suspect.parts());
    let parts = candidates.iter().copied().filter(is_in_all).collect();
    let moments = moments(part, caused, all);
    // When this one no longer counts, too few are left.
    let last_needed = moments.into_iter().rev().nth(MIN_MOMENTS - 1).unwrap_or_default();
    Block { parts, until: last_needed + CRASH_TTL }
}
