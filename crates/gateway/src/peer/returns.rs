//! Notices that the store answers again after it was away.

use tokio::sync::watch;

use crate::peer::Peers;

/// Waits for the store to answer again, on behalf of a task that keeps keys there: their leases may have
/// ended unseen. See `docs/decisions/versions.md`.
#[derive(Debug)]
pub(crate) struct Returns {
    receiver: watch::Receiver<u64>,
}

impl Returns {
    /// Starts to look out for returns from now on.
    pub(crate) fn new(peers: &Peers) -> Returns {
        let mut receiver = peers.presence().subscribe();
        receiver.borrow_and_update();
        Returns { receiver }
    }

    /// Whether the store has returned since the last call.
    pub(crate) fn has_returned(&mut self) -> bool {
        let has_returned = self.receiver.has_changed().unwrap_or_default();
        self.receiver.borrow_and_update();
        has_returned
    }

    /// Waits until the store returns.
    pub(crate) async fn next(&mut self) {
        if self.receiver.changed().await.is_err() {
            // The peers are gone, and with them whoever could notice.
            std::future::pending::<()>().await;
        }
    }
}
