//! Decisions on placement, admission, retries and state, without I/O, clock or randomness.
//!
//! Time is passed in as the [`std::time::Duration`] since the process started and
//! randomness as seeds, so that tests and simulations can drive the decisions.
//! See `docs/ARCHITECTURE.md`.

pub mod bound;
pub mod candidate;
pub mod choice;
pub mod claim;
pub mod evacuation;
pub mod exchange;
pub mod failure_rate;
pub mod fair;
pub mod gate;
pub mod gossip;
pub mod home;
pub mod leadership;
pub mod liveness;
pub mod mean;
pub mod memory;
pub mod observation;
pub mod occupancy;
pub mod orders;
pub mod origin;
pub mod outlier;
pub mod placement;
pub mod popularity;
pub mod quarantine;
pub mod rate_limit;
pub mod relay;
pub mod retry;
pub mod revision;
pub mod roster;
pub mod sequence;
pub mod silence;
pub mod slow_start;
pub mod speed;
pub mod spread;
