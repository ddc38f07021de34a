//! Client connections, and which of them are idle.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ntex::io::IoRef;
use tokio::time::Instant;

/// The client connections of one worker that have carried a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Connections {
    open: Rc<RefCell<Vec<Connection>>>,
}

/// A client connection.
#[derive(Debug)]
struct Connection {
    io: IoRef,
    /// Requests in progress; a pipelining client may have more than one.
    requests: u32,
    /// When its last response was complete.
    idle_since: Instant,
    /// Whether it is being closed, so that no response can be written to it.
    is_closing: bool,
}

/// Guard that marks a connection as busy until it is dropped.
#[derive(Debug)]
pub(crate) struct Busy {
    open: Rc<RefCell<Vec<Connection>>>,
    io: IoRef,
}

impl Connections {
    /// Marks a connection as busy.
    ///
    /// Returns `None` if the connection is already closing: the client never gets the
    /// response to a request that arrives then, so the request must not be forwarded.
    pub(crate) fn busy(&self, io: &IoRef) -> Option<Busy> {
        let mut open = self.open.borrow_mut();
        match open.iter_mut().find(|connection| connection.io == *io) {
            Some(connection) if connection.is_closing => return None,
            Some(connection) => connection.requests += 1,
            None => open.push(Connection::new(io)),
        }
        Some(Busy { open: Rc::clone(&self.open), io: io.clone() })
    }

    /// Closes connections that have been idle for at least `idle`, and returns their number.
    pub(crate) fn close_idle(&self, idle: Duration) -> usize {
        let mut open = self.open.borrow_mut();
        open.retain(|connection| !connection.io.is_closed());
        let idle = open.iter_mut().filter(|connection| connection.is_idle(idle));
        let closed = idle.map(|connection| {
            connection.is_closing = true;
            connection.io.close();
        });
        closed.count()
    }
}

impl Connection {
    fn new(io: &IoRef) -> Connection {
        Connection { io: io.clone(), requests: 1, idle_since: Instant::now(), is_closing: false }
    }

    fn is_idle(&self, idle: Duration) -> bool {
        self.requests == 0 && !self.is_closing && self.idle_since.elapsed() >= idle
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let mut open = self.open.borrow_mut();
        if let Some(connection) = open.iter_mut().find(|connection| connection.io == self.io) {
            connection.requests -= 1;
            connection.idle_since = Instant::now();
        }
    }
}
