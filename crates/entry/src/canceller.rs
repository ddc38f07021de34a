//! Cancels attempts whose answer nobody waits for any more.

use std::net::SocketAddr;
use std::rc::Rc;

use wire::Cancel;
use wire::Work;
use wire::id;

use crate::request::Request;
use crate::worker::Worker;

/// A guard that cancels an attempt at its agent when dropped before the end of the
/// answer.
///
/// A broken connection doesn't tell the agent that the caller left, since the entry may
/// have died and the caller may resume through another one. So the agent is sent an
/// explicit cancel; see `docs/decisions/retries.md`.
pub(crate) struct Canceller {
    worker: Rc<Worker>,
    agent: SocketAddr,
    request: id::Request,
    attempt: id::Attempt,
    is_disarmed: bool,
}

impl Canceller {
    /// Creates the guard of an attempt that is sent now.
    pub(crate) fn new(
        worker: &Rc<Worker>,
        request: &Request,
        attempt: id::Attempt,
        agent: SocketAddr,
    ) -> Canceller {
        // Only chats run on for a while after their connection broke.
        let is_disarmed = !matches!(request.work, Work::Chat(_));
        Canceller { worker: Rc::clone(worker), agent, request: request.id, attempt, is_disarmed }
    }

    /// Disarms the guard: the answer ended, the attempt was never sent, or another
    /// attempt resumes the answer.
    pub(crate) fn disarm(&mut self) {
        self.is_disarmed = true;
    }
}

impl Drop for Canceller {
    fn drop(&mut self) {
        // A stopping entry can't tell callers who left from those it disconnects, who may
        // resume through another entry.
        if self.is_disarmed || self.worker.cancel.is_cancelled() {
            return;
        }
        let stamp = self.worker.board().stamp();
        let cancel = Cancel { stamp, request: self.request, attempt: self.attempt };
        let sending = self.worker.transport.cancel(self.agent, cancel);
        ntex::rt::spawn(async move {
            if let Err(fault) = sending.await {
                log::debug!("the agent did not accept a cancel: {fault}");
            }
        });
    }
}
