//! Client connections, and which of them are idle.

use std::cell::Cell;
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
    /// Since when a part of a response waits for the client to read it.
    waiting_since: Rc<Cell<Option<Instant>>>,
    /// Whether it is being closed, so that no response can be written to it.
    is_closing: bool,
}

/// Guard that marks a connection as busy until it is dropped.
#[derive(Debug)]
pub(crate) struct Busy {
    open: Rc<RefCell<Vec<Connection>>>,
    io: IoRef,
    waiting_since: Rc<Cell<Option<Instant>>>,
}

impl Connections {
    /// Marks a connection as busy.
    ///
    /// Returns `None` if the connection is already closing: the client never gets the
    /// response to a request that arrives then, so the request must not be forwarded.
    pub(crate) fn busy(&self, io: &IoRef) -> Option<Busy> {
        let mut open = self.open.borrow_mut();
        let waiting_since = match open.iter_mut().find(|connection| connection.io == *io) {
            Some(connection) if connection.is_closing => return None,
            Some(connection) => {
                connection.requests += 1;
                Rc::clone(&connection.waiting_since)
            }
            None => {
                let connection = Connection::new(io);
                let waiting_since = Rc::clone(&connection.waiting_since);
                open.push(connection);
                waiting_since
            }
        };
        Some(Busy { open: Rc::clone(&self.open), io: io.clone(), waiting_since })
    }

    /// Returns the number of connections; those that were closed lately may be among them.
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
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

    /// Closes connections whose clients have read nothing of a response for at least `limit`, and
    /// returns their number.
    pub(crate) fn close_unread(&self, limit: Duration) -> usize {
        let mut open = self.open.borrow_mut();
        let unread = open.iter_mut().filter(|connection| connection.is_unread(limit));
        let closed = unread.map(|connection| {
            connection.is_closing = true;
            connection.io.close();
        });
        closed.count()
    }
}

impl Connection {
    fn new(io: &IoRef) -> Connection {
        Connection {
            io: io.clone(),
            requests: 1,
            idle_since: Instant::now(),
            waiting_since: Rc::default(),
            is_closing: false,
        }
    }

    fn is_unread(&self, limit: Duration) -> bool {
        let waiting_since = self.waiting_since.get();
        !self.is_closing && waiting_since.is_some_and(|since| since.elapsed() >= limit)
    }

    fn is_idle(&self, idle: Duration) -> bool {
        self.requests == 0 && !self.is_closing && self.idle_since.elapsed() >= idle
    }
}

impl Busy {
    /// Records that a part of the response waits for the client to read it, or no longer does.
    pub(crate) fn set_waiting(&self, is_waiting: bool) {
        self.waiting_since.set(is_waiting.then(Instant::now));
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let mut open = self.open.borrow_mut();
        if let Some(connection) = open.iter_mut().find(|connection| connection.io == self.io) {
            connection.requests -= 1;
            connection.waiting_since.set(None);
            connection.idle_since = Instant::now();
        }
    }
}
