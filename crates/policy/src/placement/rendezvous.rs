//! Weighted rendezvous hashing.

use std::cmp::Ordering;

use wire::id;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::candidate::Candidate;
use crate::placement::Placement;
use crate::placement::Query;

/// Orders engines by the score of their hash with the chat, the highest first.
///
/// An engine that leaves moves only its own chats, and an engine gets chats in
/// proportion to its slots. Engines of the entry's own region come first.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rendezvous;

impl Placement for Rendezvous {
    fn order(&self, query: &Query, candidates: &[Candidate]) -> Vec<usize> {
        by_score(query.chat.unwrap_or(query.seed), candidates)
    }
}

/// Returns the chat's home, the first engine in its rendezvous order, as an index
/// into the candidates; `None` without candidates.
pub fn home(chat: id::Chat, candidates: &[Candidate]) -> Option<usize> {
    let keys = sort_keys(chat, candidates);
    (0..candidates.len()).min_by(|left, right| keys[*left].compare(&keys[*right]))
}

/// Sorts the candidates, those of the entry's own region first, then by
/// descending score.
pub(super) fn by_score(key: u64, candidates: &[Candidate]) -> Vec<usize> {
    let keys = sort_keys(key, candidates);
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by(|left, right| keys[*left].compare(&keys[*right]));
    order
}

/// The sort key of a candidate; the engine's name breaks ties of the score.
struct SortKey<'a> {
    is_remote: bool,
    score: f64,
    engine: &'a str,
}

impl<'a> SortKey<'a> {
    fn of(key: u64, candidate: &'a Candidate) -> SortKey<'a> {
        SortKey {
            is_remote: candidate.distance.is_remote(),
            score: score(key, candidate),
            engine: &candidate.engine,
        }
    }

    fn compare(&self, other: &SortKey) -> Ordering {
        let by_region = self.is_remote.cmp(&other.is_remote);
        let by_score = by_region.then_with(|| other.score.total_cmp(&self.score));
        by_score.then_with(|| self.engine.cmp(other.engine))
    }
}

fn sort_keys(key: u64, candidates: &[Candidate]) -> Vec<SortKey<'_>> {
    candidates.iter().map(|candidate| SortKey::of(key, candidate)).collect()
}

/// Scores by the logarithm method: `-slots / ln(u)` for a hash `u` between 0 and 1.
fn score(key: u64, candidate: &Candidate) -> f64 {
    let hash = xxh3_64_with_seed(candidate.engine.as_bytes(), key);
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(candidate.slots) / unit.ln()
}
