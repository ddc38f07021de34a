//! The agent's word on a caller who went away.

use std::net::SocketAddr;
use std::rc::Rc;

use wire::Cancel;
use wire::Work;
use wire::id;

use crate::request::Request;
use crate::worker::Worker;

/// A caller who waits for the answer to an attempt.
///
/// A connection that breaks does not tell an agent that nobody waits, since
/// the entry may have died. So the agent is told when this is dropped before
/// the end of the answer; see `docs/decisions/retries.md`.
pub(crate) struct Canceller {
    worker: Rc<Worker>,
    agent: SocketAddr,
    request: id::Request,
    attempt: id::Attempt,
    is_disarmed: bool,
}

impl Canceller {
    /// Waits from now on.
    pub(crate) fn new(
        worker: &Rc<Worker>,
        request: &Request,
        attempt: id::Attempt,
        agent: SocketAddr,
    ) -> Canceller {
        // Only chats run on for a while when their connection breaks.
        let is_disarmed = !matches!(request.work, Work::Chat(_));
        Canceller { worker: Rc::clone(worker), agent, request: request.id, attempt, is_disarmed }
    }

    /// The answer ended, was never asked for, or goes on in another attempt.
    pub(crate) fn disarm(&mut self) {
        self.is_disarmed = true;
    }
}

impl Drop for Canceller {
    fn drop(&mut self) {
        // An entry that stops can't tell callers who left from those it cuts
        // off, who may go on through another entry.
        if self.is_disarmed || self.worker.cancel.is_cancelled() {
            return;
        }
        let stamp = self.worker.board().stamp();
        let cancel = Cancel { stamp, request: self.request, attempt: self.attempt };
        let sending = self.worker.agents.cancel(self.agent, cancel);
        ntex::rt::spawn(async move {
            if let Err(fault) = sending.await {
                log::debug!("a cancel was not taken: {fault}");
            }
        });
    }
}
