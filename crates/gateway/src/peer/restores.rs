//! Notices that the store has come back from a copy.

use tokio::sync::watch;

use crate::peer::Peers;

/// Waits for restores of the store, on behalf of a task that has written to it.
#[derive(Debug)]
pub(crate) struct Restores {
    receiver: watch::Receiver<Option<u64>>,
    known: Option<u64>,
}

impl Restores {
    /// Starts to look out for restores from now on.
    pub(crate) fn new(peers: &Peers) -> Restores {
        let mut receiver = peers.subscribe_restores();
        let known = *receiver.borrow_and_update();
        Restores { receiver, known }
    }

    /// Returns the number of restores before the history that is known; `None` if none is.
    pub(crate) fn known(&self) -> Option<u64> {
        self.known
    }

    /// Whether the store has come back from a copy since the last call.
    pub(crate) fn has_restored(&mut self) -> bool {
        let restores = *self.receiver.borrow_and_update();
        // What is known first is no restore.
        let has_restored = self.known.is_some() && restores > self.known;
        self.known = restores;
        has_restored
    }

    /// Waits until the store has come back from a copy.
    pub(crate) async fn next(&mut self) {
        while !self.has_restored() {
            if self.receiver.changed().await.is_err() {
                // The peers are gone, and with them whoever could notice.
                std::future::pending::<()>().await;
            }
        }
    }
}
