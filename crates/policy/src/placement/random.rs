//! Random placement, a baseline for measurements.

use crate::candidate::Candidate;
use crate::placement::Placement;
use crate::placement::Query;
use crate::placement::rendezvous::by_score;

/// Orders engines at random; those with more slots come first more often.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Placement for Random {
    fn order(&self, query: &Query, candidates: &[Candidate]) -> Vec<usize> {
        by_score(query.seed, candidates)
    }
}
