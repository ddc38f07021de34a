//! Gossip protocol for membership, within a budget of bytes.
//!
//! Each process exchanges heartbeats ([`wire::Beat`], called beats) with a few
//! neighbours in turn. A beat describes the sender, then members that changed
//! lately, then others as far as the budget goes. A member that can't be reached
//! is suspected; it refutes the suspicion with a newer description of itself.
//! See `docs/decisions/membership.md`.

pub mod budget;
pub mod digest;
pub mod neighbours;
pub mod reconciler;
pub mod suspicion;
pub mod updates;

pub use budget::Budget;
pub use neighbours::Neighbours;
pub use reconciler::Comparison;
pub use reconciler::Reconciler;
pub use suspicion::Suspect;
pub use suspicion::Suspicion;
pub use updates::Change;
pub use updates::Updates;
