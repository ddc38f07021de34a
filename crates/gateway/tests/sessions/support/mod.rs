//! A gateway before scripted endpoints, all on loopback.

pub mod client;
pub mod endpoint;
pub mod scene;
pub mod script;
