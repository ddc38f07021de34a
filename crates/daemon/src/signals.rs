//! Turns signals into cancellation.

use std::io;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

/// Cancels a token on SIGTERM or SIGINT.
///
/// # Errors
///
/// If the signals can't be handled.
pub fn cancel_on_stop(stop: CancellationToken) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    ntex::rt::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("told to stop");
        stop.cancel();
    });
    Ok(())
}

/// Keeps SIGHUP from ending the process and tells of each.
///
/// # Errors
///
/// If the signal can't be handled.
pub fn note_reloads() -> io::Result<()> {
    let mut reload = signal(SignalKind::hangup())?;
    ntex::rt::spawn(async move {
        while reload.recv().await.is_some() {
            log::info!("told that the settings changed; they count from the next start");
        }
    });
    Ok(())
}
