//! The blackboard of a process: shared state that its workers and controllers read and write.
//!
//! Lock order: [`Board`] guards four tables by locks, `document`, `roster`, `mean` and
//! `ledger`. A thread that needs more than one locks them in this order; no lock is held
//! across an await. See `docs/ARCHITECTURE.md`.

mod board;
mod identity;

pub use board::Board;
pub use identity::Identity;
