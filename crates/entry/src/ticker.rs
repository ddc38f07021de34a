//! A body stream that is polled regularly, so that its connection is checked.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_util::Stream;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;

/// Time between two polls while the stream is idle.
///
/// The server notices that a caller disconnected only when it polls the body, and an idle
/// engine doesn't make it poll.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A stream that is polled regularly even when it has no item.
pub(crate) struct Ticker<S> {
    inner: S,
    ticks: Interval,
}

impl<S> Ticker<S> {
    /// Wraps the stream of a response's body.
    pub(crate) fn new(inner: S) -> Ticker<S> {
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ticker { inner, ticks }
    }
}

impl<S: Stream + Unpin> Stream for Ticker<S> {
    type Item = S::Item;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<S::Item>> {
        if let Poll::Ready(item) = Pin::new(&mut self.inner).poll_next(context) {
            return Poll::Ready(item);
        }
        while self.ticks.poll_tick(context).is_ready() {}
        Poll::Pending
    }
}
