//! Bound on bytes that a peer sends without any progress of its response.

use std::io;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Most bytes that are read before the head of a response, or between two pieces of its body. It
/// is above [`crate::connection::MAX_BUFFER_BYTES`], since that many bytes of a body may have
/// been read before the first of them is used.
const MAX_BYTES: usize = 128 * 1024;

/// Counts the bytes that may still be read from a connection.
///
/// A broken peer may send header lines, interim responses or chunk headers without end. None of
/// that is an error of the protocol, and no single part of it is too long.
#[derive(Debug)]
pub(crate) struct Allowance {
    left: AtomicUsize,
}

impl Default for Allowance {
    fn default() -> Allowance {
        Allowance { left: AtomicUsize::new(MAX_BYTES) }
    }
}

impl Allowance {
    /// Allows the full number of bytes again, as the response has made progress.
    pub(crate) fn renew(&self) {
        self.left.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Takes bytes that were read.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::InvalidData`] if more were read than allowed.
    pub(crate) fn take(&self, bytes: usize) -> io::Result<()> {
        // Only the connection's task reads, so the value does not change in between.
        let left = self.left.load(Ordering::Relaxed);
        let Some(rest) = left.checked_sub(bytes) else {
            let text = format!("{MAX_BYTES} bytes were sent without a response or a piece of one");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        };
        self.left.store(rest, Ordering::Relaxed);
        Ok(())
    }
}
