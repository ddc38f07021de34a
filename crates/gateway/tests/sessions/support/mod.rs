//! The gateway, client and endpoints of the tests.

pub mod client;
pub mod endpoint;
pub mod fixture;
pub mod script;
