//! Limits of the whole fleet.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Limits of placement and retries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Highest load of an engine, as a multiple of the fleet's mean load.
    pub load_bound: f32,
    /// Attempts that one request may make, including the first.
    pub attempts: u32,
    /// Retries that an entry may send, in percent of its first attempts.
    pub retry_percent: u32,
    /// Accelerators that the budget pays for.
    pub accelerators: u32,
    /// Models that may be loaded at the same time in the whole fleet; limited by the
    /// rate of the weight store.
    pub loads: u32,
    /// Time for which the outcome of a call with an idempotency key is kept.
    pub claim_age: Duration,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit {
            load_bound: 1.25,
            attempts: 3,
            retry_percent: 20,
            accelerators: 0,
            loads: 2,
            claim_age: Duration::from_secs(3600),
        }
    }
}
