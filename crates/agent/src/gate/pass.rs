//! A pass, by which work waits at the gate and then occupies an engine slot.

use std::sync::Arc;

use policy::gate::End;
use policy::gate::Id;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::Refusal;
use wire::refusal::Reason;

use crate::failure;
use crate::gate::FirstToken;
use crate::gate::Gate;
use crate::gate::waiters;
use crate::gate::waiters::Decision;

/// Work that waits at the gate or runs; dropping the pass ends the work there
/// and frees its place in the queue or its slot.
pub struct Pass {
    gate: Arc<Gate>,
    id: Id,
    end: End,
    decision: oneshot::Receiver<Decision>,
}

impl Pass {
    pub(super) fn new(gate: &Arc<Gate>, id: Id, decision: oneshot::Receiver<Decision>) -> Pass {
        Pass { gate: Arc::clone(gate), id, end: End::Aborted, decision }
    }

    /// Returns the recorder of the work's first token.
    pub(crate) fn first_token(&self) -> FirstToken {
        FirstToken::new(&self.gate, self.id)
    }

    /// Records that the work is complete, so that the engine's speed is learnt from it.
    pub fn complete(&mut self) {
        self.end = End::Completed;
    }

    /// Returns the refusal if the work was refused as it was submitted.
    pub fn refused(&mut self) -> Option<Refusal> {
        match self.decision.try_recv() {
            Ok(Err(refusal)) => Some(refusal),
            Ok(Ok(())) => {
                self.decision = waiters::granted();
                None
            }
            Err(_) => None,
        }
    }

    /// Waits until the work may start.
    ///
    /// # Errors
    ///
    /// The refusal, if the work may not start; it then never ran.
    pub async fn started(&mut self) -> Result<(), Refusal> {
        loop {
            let wait = self.gate.recheck_delay(self.id);
            match timeout(wait, &mut self.decision).await {
                Ok(Ok(decision)) => return decision,
                Ok(Err(_)) => return Err(failure::not_run(Reason::Queue)),
                Err(_) => self.gate.tick(),
            }
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.end(self.id, self.end);
    }
}
