//! Reads and validates the settings file of a daemon.
//!
//! All faults of a file are collected and reported together, so that an operator
//! can correct them in one go. Each names its key, its line and the remedy. The
//! keys are documented in [SETTINGS.md](../../../docs/SETTINGS.md).

mod engine;
mod error;
pub mod fault;
mod file;
mod gateway;
pub mod key;
mod kind;
pub mod limit;
mod listen;
mod peer;
mod platform;
mod report;
mod role;
mod secret;
mod section;
mod settings;

pub use crate::engine::Engine;
pub use crate::error::Error;
pub use crate::file::File;
pub use crate::gateway::Gateway;
pub use crate::gateway::SlowStart;
pub use crate::kind::Kind;
pub use crate::limit::Limit;
pub use crate::listen::Listen;
pub use crate::peer::Peer;
pub use crate::platform::Platform;
pub use crate::report::Report;
pub use crate::role::Role;
pub use crate::secret::Secret;
pub use crate::settings::Settings;
