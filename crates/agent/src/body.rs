//! The response body of an attempt, fed by the task that runs the attempt.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_util::stream::Stream;
use ntex::util::Bytes;
use tokio::sync::mpsc;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;

use crate::flight::Guard;

/// Time between two polls of the body while no frame comes.
///
/// The server notices a closed connection only when it polls the body, and a
/// silent engine gives it no reason to poll; see `docs/decisions/gate.md`.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A stream of encoded frames. The server drops it when the peer has closed the connection.
pub(crate) struct Body {
    frames: mpsc::Receiver<bytes::Bytes>,
    connection_check: Interval,
    _guard: Guard,
}

impl Body {
    /// Returns a body of encoded frames that counts as in flight until it is dropped.
    pub(crate) fn new(frames: mpsc::Receiver<bytes::Bytes>, guard: Guard) -> Body {
        let mut connection_check = tokio::time::interval(CONNECTION_CHECK_INTERVAL);
        connection_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Body { frames, connection_check, _guard: guard }
    }
}

impl Stream for Body {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Poll::Ready(frame) = self.frames.poll_recv(context) {
            return Poll::Ready(frame.map(|frame| Ok(Bytes::copy_from_slice(&frame))));
        }
        while self.connection_check.poll_tick(context).is_ready() {}
        Poll::Pending
    }
}
