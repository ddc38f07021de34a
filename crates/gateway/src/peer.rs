//! What gateways learn from each other while the store turns some of them away.
//!
//! Each gateway keeps the keys of the store as it last read them and registers where
//! peers reach it. `docs/decisions/platform.md` has the design.

mod asking;
mod mirror;
mod peers;
mod registration;

pub(crate) use asking::ask;
pub use mirror::Mirror;
pub use peers::Peers;
pub use registration::register;
