//! Guard of a response that is not complete yet.

use ntex::web::HttpRequest;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::connections::Busy;
use crate::worker::Worker;

/// Keeps the process running and the client's connection open until a response is complete.
#[derive(Debug)]
pub(crate) struct ResponseGuard {
    busy: Busy,
    _token: TaskTrackerToken,
}

impl ResponseGuard {
    /// Creates the guard of the response to a request.
    ///
    /// Returns `None` if the connection is closing, so that no response can be written, or if
    /// the process has sent its last response. The task tracker token is taken before
    /// `context.finished` is checked, so that shutdown waits for every request that passes
    /// the check.
    pub(crate) fn begin(worker: &Worker, head: &HttpRequest) -> Option<ResponseGuard> {
        let busy = worker.connections.busy(head.io()?)?;
        let guard = ResponseGuard { busy, _token: worker.context.responses.token() };
        (!worker.context.finished.is_cancelled()).then_some(guard)
    }

    /// Records that a part of the response waits for the client to read it, or no longer does.
    pub(crate) fn set_waiting(&self, is_waiting: bool) {
        self.busy.set_waiting(is_waiting);
    }
}
