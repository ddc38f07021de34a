//! Signals that end the demo.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error::Error;

/// Receiver of SIGINT and SIGTERM. Once it exists, they no longer end the task at
/// once, which would leave its processes behind.
#[derive(Debug)]
pub(crate) struct Signals {
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    pub(crate) fn new() -> Result<Signals, Error> {
        let interrupt = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
        let terminate = signal(SignalKind::terminate()).map_err(Error::Signals)?;
        Ok(Signals { interrupt, terminate })
    }

    /// Waits until one of the signals is received.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
