//! Placement by the power of two choices.

use crate::candidate::Candidate;
use crate::placement::Placement;
use crate::placement::Query;
use crate::placement::rendezvous::by_score;

/// Draws two engines by the request's random seed and puts the less loaded one
/// first; at equal load the nearer one.
///
/// Both are of the entry's region if that has two.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Placement for TwoChoices {
    fn order(&self, query: &Query, candidates: &[Candidate]) -> Vec<usize> {
        let mut order = by_score(query.seed, candidates);
        if let [first, second, ..] = order[..]
            && is_preferred(&candidates[second], &candidates[first])
            && candidates[first].distance.is_remote() == candidates[second].distance.is_remote()
        {
            order.swap(0, 1);
        }
        order
    }
}

/// Returns whether a candidate is less loaded, or as loaded and nearer.
fn is_preferred(candidate: &Candidate, than: &Candidate) -> bool {
    match candidate.per_slot().total_cmp(&than.per_slot()) {
        std::cmp::Ordering::Less => true,
        std::cmp::Ordering::Equal => candidate.distance < than.distance,
        std::cmp::Ordering::Greater => false,
    }
}
