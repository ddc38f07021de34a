//! A place at the gate.

use std::sync::Arc;

use policy::gate::End;
use policy::gate::Id;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::Refusal;
use wire::refusal::Reason;

use crate::failure;
use crate::gate::Gate;
use crate::gate::Token;
use crate::gate::waiters;
use crate::gate::waiters::Decision;

/// A place at the gate; dropping it gives the place back.
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

    /// By which the gate learns of the work's first token.
    pub(crate) fn token(&self) -> Token {
        Token::new(&self.gate, self.id)
    }

    /// Notes that the work came to its end, so that the engine's speed is learnt from it.
    pub fn complete(&mut self) {
        self.end = End::Completed;
    }

    /// The refusal, if the work was refused as it was offered.
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
    /// The refusal, if it may not; it then never started.
    pub async fn started(&mut self) -> Result<(), Refusal> {
        loop {
            let wait = self.gate.look(self.id);
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
