//! An answer that expires if its caller stops reading.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use wire::frame::Payload;

use crate::attempt;
use crate::stream::Stream;
use crate::transport::Fault;

/// An answer that is dropped if the caller doesn't ask for the next payload in time,
/// because it would hold the engine's slot.
pub(crate) struct Expiring {
    slot: Rc<RefCell<Slot>>,
    _expiry: DropGuard,
}

struct Slot {
    /// `None` while it is read, and for good once it was dropped.
    answer: Option<Stream>,
    idle_since: Instant,
}

impl Expiring {
    /// Wraps an answer that may be idle between two reads for at most `idle_limit`.
    pub(crate) fn new(answer: Stream, idle_limit: Duration) -> Expiring {
        let slot = Rc::new(RefCell::new(Slot { answer: Some(answer), idle_since: Instant::now() }));
        let cancel = CancellationToken::new();
        ntex::rt::spawn(expire(Rc::clone(&slot), idle_limit, cancel.clone()));
        Expiring { slot, _expiry: cancel.drop_guard() }
    }

    /// Returns the next payload.
    ///
    /// # Errors
    ///
    /// [`Fault::Stalled`] if the answer was dropped; else see [`attempt::next`].
    pub(crate) async fn next(&mut self) -> Result<Payload, Fault> {
        let taken = self.slot.borrow_mut().answer.take();
        let mut answer = taken.ok_or(Fault::Stalled)?;
        let next = attempt::next(&mut answer).await;
        *self.slot.borrow_mut() = Slot { answer: Some(answer), idle_since: Instant::now() };
        next
    }
}

async fn expire(slot: Rc<RefCell<Slot>>, idle_limit: Duration, cancel: CancellationToken) {
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            () = sleep(idle_limit) => {}
        }
        let mut slot = slot.borrow_mut();
        if slot.idle_since.elapsed() >= idle_limit {
            slot.answer = None;
        }
    }
}
