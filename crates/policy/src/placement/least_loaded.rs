//! Least-load placement, a baseline for measurements.

use crate::candidate::Candidate;
use crate::placement::Placement;
use crate::placement::Query;
use crate::placement::rendezvous::by_score;

/// Orders engines by known load per slot; ties by the request's random seed.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

impl Placement for LeastLoaded {
    fn order(&self, query: &Query, candidates: &[Candidate]) -> Vec<usize> {
        let mut order = by_score(query.seed, candidates);
        order.sort_by(|left, right| {
            candidates[*left].per_slot().total_cmp(&candidates[*right].per_slot())
        });
        order
    }
}
