//! Routing data of a gateway: routes, client accounts, services and endpoints.
//!
//! Data and look-ups only, without I/O. A [`Dialect`] decodes the formats of an external system
//! into these types, so that no other code depends on the names in those formats;
//! `docs/decisions/platform.md` says why.

pub mod account;
pub mod dialect;
pub mod endpoint;
pub mod evacuation;
pub mod metadata;
pub mod reply;
pub mod rule;
pub mod service;
pub mod table;

pub use account::Account;
pub use dialect::Dialect;
pub use endpoint::Endpoint;
pub use evacuation::Evacuation;
pub use metadata::Metadata;
pub use metadata::Part;
pub use reply::Reply;
pub use rule::Rule;
pub use service::Service;
pub use table::Table;

/// The name of a service, as operators configure it.
pub type ServiceName = String;
/// The version of a configuration; a higher one is newer.
pub type Version = u64;
