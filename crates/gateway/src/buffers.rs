//! Memory that the bodies of responses take while they are read.

use std::cell::Cell;
use std::rc::Rc;

/// Most bytes that all bodies take together. Bodies usually take some kilobytes; broken endpoints
/// that send without end must not fill the memory of a small VM.
const MAX_BYTES: usize = 32 * 1024 * 1024;

/// Counts the bytes of all bodies that are being read.
#[derive(Debug, Default)]
pub(crate) struct Buffers {
    used: Rc<Cell<usize>>,
}

/// The bytes of one body. They are free again when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    used: Rc<Cell<usize>>,
    own: usize,
}

impl Buffers {
    /// Returns a reservation of no bytes.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation { used: Rc::clone(&self.used), own: 0 }
    }
}

impl Reservation {
    /// Reserves further bytes. Returns whether there are that many left.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let used = self.used.get() + bytes;
        if used > MAX_BYTES {
            return false;
        }
        self.used.set(used);
        self.own += bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.own);
    }
}
