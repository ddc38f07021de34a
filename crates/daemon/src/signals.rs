//! Handles the signals SIGTERM, SIGINT and SIGHUP.

use std::io;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

/// Cancels `stop` on SIGTERM or SIGINT.
///
/// # Errors
///
/// If the signals can't be handled.
pub fn cancel_on_terminate(stop: CancellationToken) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    ntex::rt::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("stopping after SIGTERM or SIGINT");
        stop.cancel();
    });
    Ok(())
}

/// Keeps SIGHUP from ending the process; each one is only logged, as settings
/// are read once at the start.
///
/// # Errors
///
/// If the signal can't be handled.
pub fn ignore_hangups() -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    ntex::rt::spawn(async move {
        while hangup.recv().await.is_some() {
            log::info!("SIGHUP ignored: changed settings apply from the next start");
        }
    });
    Ok(())
}
