//! Errors of setting up telemetry.

use displaydoc::Display;

/// Error of setting up telemetry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Error {
    /// a logger is already installed; call `log::init` once, first in `main`
    Logger,
    /// the thread that writes logs can't be started; check the VM's limits
    LogThread,
    /// a metrics recorder is already installed; call `Recorder::install` once, first in `main`
    Recorder,
}

impl std::error::Error for Error {}
