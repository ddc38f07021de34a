//! Clients' connections and which of them wait for a request.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ntex::io::IoRef;
use tokio::time::Instant;

/// The connections of one worker that carried a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Connections {
    open: Rc<RefCell<Vec<Open>>>,
}

#[derive(Debug)]
struct Open {
    io: IoRef,
    /// A pipelining client may have more than one.
    requests: u32,
    /// When its last answer was complete.
    idle_since: Instant,
    /// It was told to close, so that no answer can be written to it.
    is_closing: bool,
}

/// Marks a connection as busy until it is dropped.
#[derive(Debug)]
pub(crate) struct Busy {
    open: Rc<RefCell<Vec<Open>>>,
    io: IoRef,
}

impl Connections {
    /// Marks a connection as busy; `None` where it is closing already. A request
    /// that crossed the close must not be passed on.
    pub(crate) fn busy(&self, io: &IoRef) -> Option<Busy> {
        let mut open = self.open.borrow_mut();
        match open.iter_mut().find(|known| known.io == *io) {
            Some(known) if known.is_closing => return None,
            Some(known) => known.requests += 1,
            None => open.push(Open::new(io)),
        }
        Some(Busy { open: Rc::clone(&self.open), io: io.clone() })
    }

    /// Closes connections that have waited so long for a request; says how many.
    pub(crate) fn close_idle(&self, idle: Duration) -> usize {
        let mut open = self.open.borrow_mut();
        open.retain(|known| !known.io.is_closed());
        let waiting = open.iter_mut().filter(|known| known.is_idle(idle));
        let closed = waiting.map(|known| {
            known.is_closing = true;
            known.io.close();
        });
        closed.count()
    }
}

impl Open {
    fn new(io: &IoRef) -> Open {
        Open { io: io.clone(), requests: 1, idle_since: Instant::now(), is_closing: false }
    }

    fn is_idle(&self, idle: Duration) -> bool {
        self.requests == 0 && !self.is_closing && self.idle_since.elapsed() >= idle
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let mut open = self.open.borrow_mut();
        if let Some(known) = open.iter_mut().find(|known| known.io == self.io) {
            known.requests -= 1;
            known.idle_since = Instant::now();
        }
    }
}
