//! Peer snapshots: gateways that can't read the store get its keys from other gateways.
//!
//! Each gateway keeps the keys of the store as it last read them, and registers the address
//! at which peers can ask for them. `docs/decisions/platform.md` has the design.

mod fetch;
mod mirror;
mod peers;
mod registration;

pub(crate) use fetch::fetch;
pub use mirror::Mirror;
pub use peers::Peers;
pub use registration::register;
