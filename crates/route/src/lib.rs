//! What a gateway serves: routes, client accounts, services and endpoints.
//!
//! Pure data and look-ups without I/O. A [`Dialect`] decodes what an outside
//! system writes into these types once, so that nothing else knows its names;
//! `docs/decisions/platform.md` says why.

pub mod account;
pub mod ask;
pub mod dialect;
pub mod endpoint;
pub mod reply;
pub mod rule;
pub mod service;
pub mod table;

pub use account::Account;
pub use ask::Ask;
pub use ask::Part;
pub use dialect::Dialect;
pub use endpoint::Endpoint;
pub use reply::Reply;
pub use rule::Rule;
pub use service::Service;
pub use table::Table;

/// Names a service, as operators do.
pub type ServiceName = String;
/// Counts configurations; a higher one is newer.
pub type Version = u64;
