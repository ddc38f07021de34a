//! Logs, metrics and health endpoints of a process.
//!
//! All processes use this crate, so that operators see them in the same form: log
//! records as single lines, metrics in the Prometheus text format, and a readiness
//! state with the reasons why a process is not ready.

pub mod admin;
pub mod error;
pub mod log;
pub mod metrics;
pub mod output;
mod process;
mod readiness;
mod reason;

pub use crate::error::Error;
pub use crate::process::Process;
pub use crate::readiness::Readiness;
pub use crate::reason::Reason;
