//! The last stream that a task has recorded.

use tokio::sync::watch;

/// Numbers of the last streams that a task has tried to record, and that it has recorded. Streams wait
/// for it before their first events are sent.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    tried: watch::Sender<u64>,
    done: watch::Sender<u64>,
}

impl Progress {
    /// Records an attempt for the streams up to a number, and whether it succeeded.
    pub(crate) fn set(&self, number: u64, is_done: bool) {
        if is_done {
            self.done.send_replace(number);
        }
        self.tried.send_replace(number);
    }

    /// Whether the stream with a number is recorded.
    pub(crate) fn is_done(&self, number: u64) -> bool {
        *self.done.borrow() >= number
    }

    /// Waits until the stream with a number was tried.
    pub(crate) async fn wait_tried(&self, number: u64) {
        wait(&self.tried, number).await;
    }

    /// Waits until the stream with a number is recorded.
    pub(crate) async fn wait_done(&self, number: u64) {
        wait(&self.done, number).await;
    }
}

async fn wait(sender: &watch::Sender<u64>, number: u64) {
    // The sender outlives this call, so the wait ends only with the number.
    let _ = sender.subscribe().wait_for(|reached| *reached >= number).await;
}
