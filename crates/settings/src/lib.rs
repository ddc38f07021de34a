//! The settings file of a daemon, read and checked whole.
//!
//! An operator who replaces a VM wants one answer that lists everything to
//! mend, so all faults are collected before anything is reported. Each names
//! its key, its line and the remedy. All keys are explained in
//! [SETTINGS.md](../../../docs/SETTINGS.md).

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
pub use crate::kind::Kind;
pub use crate::limit::Limit;
pub use crate::listen::Listen;
pub use crate::peer::Peer;
pub use crate::platform::Platform;
pub use crate::report::Report;
pub use crate::role::Role;
pub use crate::secret::Secret;
pub use crate::settings::Settings;
