//! Intents, plans and the confirmed configuration, without I/O.
//!
//! A [`Document`] is a configuration that operators confirmed. It is immutable:
//! each change is a new document with the next revision. See
//! `docs/ARCHITECTURE.md`.

pub mod account;
pub mod allocation;
pub mod assignment;
pub mod budget;
pub mod change;
pub mod check;
pub mod demand;
mod detail;
pub mod document;
pub mod effect;
pub mod engine;
pub mod fault;
pub mod intent;
pub mod layout;
pub mod limit;
pub mod need;
pub mod plan;
mod quota;
pub mod rank;
pub mod record;
pub mod service;
pub mod spread;
pub mod warning;

pub use account::Account;
pub use allocation::Allocation;
pub use assignment::Assignment;
pub use budget::Budget;
pub use demand::Demand;
pub use document::Document;
pub use engine::Engine;
pub use fault::Fault;
pub use intent::Intent;
pub use limit::Limit;
pub use plan::Basis;
pub use plan::Plan;
pub use rank::Rank;
pub use record::Record;
pub use service::Service;
