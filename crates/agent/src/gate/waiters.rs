//! The tasks that wait for a decision of the gate.

use policy::gate::Id;
use tokio::sync::oneshot;
use wire::Refusal;

/// The gate's decision on one request: `Ok` if it may start, or the refusal.
pub(super) type Decision = Result<(), Refusal>;

/// Waiters sorted by id. Ids only grow, so a new waiter is appended.
#[derive(Debug, Default)]
pub(super) struct Waiters(Vec<Waiter>);

#[derive(Debug)]
struct Waiter {
    id: Id,
    sender: oneshot::Sender<Decision>,
}

/// Returns a receiver that already holds the decision to start.
pub(super) fn granted() -> oneshot::Receiver<Decision> {
    let (sender, decision) = oneshot::channel();
    // The receiver exists until the function returns, so the send can't fail.
    let _ = sender.send(Ok(()));
    decision
}

impl Waiters {
    /// Adds a waiter, whose id must be above all others.
    pub(super) fn add(&mut self, id: Id) -> oneshot::Receiver<Decision> {
        let (sender, decision) = oneshot::channel();
        self.0.push(Waiter { id, sender });
        decision
    }

    /// Sends a waiter its decision. The send fails if the waiter is gone; dropping
    /// its pass then ends the work.
    pub(super) fn notify(&mut self, id: Id, decision: Decision) {
        if let Some(waiter) = self.take(id) {
            let _ = waiter.sender.send(decision);
        }
    }

    /// Removes a waiter, if it still waits.
    pub(super) fn remove(&mut self, id: Id) {
        self.take(id);
    }

    fn take(&mut self, id: Id) -> Option<Waiter> {
        let index = self.0.binary_search_by_key(&id, |waiter| waiter.id).ok()?;
        Some(self.0.remove(index))
    }
}
