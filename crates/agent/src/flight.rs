//! A count of the answers in flight.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Counts the answers in flight, so that a stop waits for them.
#[derive(Debug, Clone, Default)]
pub struct Flight(Arc<AtomicUsize>);

/// Counts one answer as in flight until it is dropped. An answer holds it until
/// its last byte was handed to the connection.
#[derive(Debug)]
pub struct Guard(Arc<AtomicUsize>);

impl Flight {
    /// Counts one more answer until the returned guard is dropped.
    pub fn guard(&self) -> Guard {
        self.0.fetch_add(1, Ordering::Relaxed);
        Guard(Arc::clone(&self.0))
    }

    /// Returns the number of answers in flight.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
