//! What gateways tell each other: keys of the store and loads of endpoints.
//!
//! Each gateway keeps the keys of the store as it last read them, and registers the address
//! at which peers can ask for them. `docs/decisions/relays.md` has the design, and
//! `docs/decisions/platform.md` what happens while the store turns gateways away.

mod connections;
mod exchange;
mod fetch;
mod finder;
mod follower;
mod journals;
mod loads;
mod member;
mod mirror;
mod peers;
mod presence;
mod registration;
mod replicator;
mod restores;
mod returns;
mod stored;
mod streams;

pub(crate) use connections::Connections;
pub(crate) use exchange::Exchange;
pub(crate) use exchange::Own;
pub(crate) use fetch::fetch;
pub(crate) use finder::Finder;
pub(crate) use follower::Follower;
pub use loads::share_loads;
pub use member::Member;
pub use mirror::Mirror;
pub use peers::Peers;
pub(crate) use presence::Presence;
pub use registration::register;
pub(crate) use replicator::Replicator;
pub(crate) use restores::Restores;
pub(crate) use returns::Returns;
