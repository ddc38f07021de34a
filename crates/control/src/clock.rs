//! A sleep that a cancellation token ends early.

use std::time::Duration;

use tokio::time;
use tokio_util::sync::CancellationToken;

/// Sleeps for `duration`. Returns `false` if it was cancelled before the end.
pub(crate) async fn sleep(duration: Duration, cancel: &CancellationToken) -> bool {
    tokio::select! {
        () = cancel.cancelled() => false,
        () = time::sleep(duration) => true,
    }
}
