//! An answer that is not complete yet.

use ntex::web::HttpRequest;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::connections::Busy;
use crate::worker::Worker;

/// Keeps the process and the client's connection until an answer is complete.
#[derive(Debug)]
pub(crate) struct Answering {
    _busy: Busy,
    _token: TaskTrackerToken,
}

impl Answering {
    /// `None` where the connection is closing, so that no answer can be written, and
    /// after the process's last answer. The token is taken before the look at the latter,
    /// so that whoever passes it is waited for.
    pub(crate) fn begin(worker: &Worker, head: &HttpRequest) -> Option<Answering> {
        let busy = worker.connections.busy(head.io()?)?;
        let answering = Answering { _busy: busy, _token: worker.context.answers.token() };
        (!worker.context.over.is_cancelled()).then_some(answering)
    }
}
