//! Who waits for a decision of the gate.

use policy::gate::Id;
use tokio::sync::oneshot;
use wire::Refusal;

/// What a waiter is told: it may start, or why not.
pub(super) type Decision = Result<(), Refusal>;

/// Waiters sorted by id; ids only grow, so a new one comes last.
#[derive(Debug, Default)]
pub(super) struct Waiters(Vec<Waiter>);

#[derive(Debug)]
struct Waiter {
    id: Id,
    sender: oneshot::Sender<Decision>,
}

/// The decision for work that may start, made before anyone waits for it.
pub(super) fn granted() -> oneshot::Receiver<Decision> {
    let (sender, decision) = oneshot::channel();
    // The receiver is held here, so it takes what is sent.
    let _ = sender.send(Ok(()));
    decision
}

impl Waiters {
    /// Adds a waiter, whose id is above all others.
    pub(super) fn add(&mut self, id: Id) -> oneshot::Receiver<Decision> {
        let (sender, decision) = oneshot::channel();
        self.0.push(Waiter { id, sender });
        decision
    }

    /// Tells a waiter; one that is gone gives its place back when its pass is dropped.
    pub(super) fn tell(&mut self, id: Id, decision: Decision) {
        if let Some(waiter) = self.take(id) {
            let _ = waiter.sender.send(decision);
        }
    }

    /// Forgets a waiter, if it still waits.
    pub(super) fn remove(&mut self, id: Id) {
        self.take(id);
    }

    fn take(&mut self, id: Id) -> Option<Waiter> {
        let index = self.0.binary_search_by_key(&id, |waiter| waiter.id).ok()?;
        Some(self.0.remove(index))
    }
}
