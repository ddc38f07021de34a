//! Random placement, a baseline for measurements.

use crate::candidate::Candidate;
use crate::placement::Ask;
use crate::placement::Placement;
use crate::placement::rendezvous::by_score;

/// Orders engines at random; those with more slots come first more often.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Placement for Random {
    fn order(&self, ask: &Ask, candidates: &[Candidate]) -> Vec<usize> {
        by_score(ask.seed, candidates)
    }
}
