//! Clients of model engines and plain services, behind traits.
//!
//! Decision code depends on the traits only, so another protocol needs just
//! another implementation.

pub mod engine;
mod http;
pub mod openai;
pub mod orders;
pub mod plain;

pub use engine::Engine;
pub use orders::Orders;
