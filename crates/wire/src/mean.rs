//! An estimate of the fleet's mean load, piggybacked on messages.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The mean number of accepted requests per slot over the sampled engines.
///
/// `docs/decisions/mean-load.md` compares this with probes and an aggregation tree.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Mean {
    /// Accepted requests per slot.
    pub per_slot: f32,
    /// Number of engines that the estimate is based on; old samples count less.
    pub weight: f32,
    /// Mean age of the samples, weighted as in the estimate.
    pub age: Duration,
}
