//! Clients' connections and which of them wait for a request.

use std::cell::RefCell;
use std::rc::Rc;

use ntex::io::IoRef;

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
            None => open.push(Open { io: io.clone(), requests: 1, is_closing: false }),
        }
        Some(Busy { open: Rc::clone(&self.open), io: io.clone() })
    }

    /// Closes all connections that wait for a request; says how many.
    pub(crate) fn close_idle(&self) -> usize {
        let mut open = self.open.borrow_mut();
        let idle = open.iter_mut().filter(|known| known.requests == 0 && !known.io.is_closed());
        let mut closed = 0;
        for known in idle {
            known.is_closing = true;
            known.io.close();
            closed += 1;
        }
        closed
    }

    /// Forgets connections that are closed.
    pub(crate) fn sweep(&self) {
        self.open.borrow_mut().retain(|known| !known.io.is_closed());
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let mut open = self.open.borrow_mut();
        if let Some(known) = open.iter_mut().find(|known| known.io == self.io) {
            known.requests -= 1;
        }
    }
}
