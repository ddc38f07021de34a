//! Logs, metrics and health of a process.
//!
//! Everything that an operator sees of a running process passes here, so that
//! all processes show it the same way: one line a log record, metrics in the
//! text format of Prometheus, and a readiness that says what it waits for.

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
