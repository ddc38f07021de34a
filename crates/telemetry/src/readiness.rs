//! Readiness of a process for work.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::reason::Reason;

/// Readiness of a process for work: it is ready while there is no reason against it.
/// Clones share the same state.
#[derive(Clone, Debug)]
pub struct Readiness {
    reasons: Arc<Mutex<Vec<Reason>>>,
}

impl Readiness {
    /// Returns a readiness with initial reasons against it.
    pub fn new(reasons: &[Reason]) -> Readiness {
        let mut reasons = reasons.to_vec();
        reasons.sort_unstable();
        reasons.dedup();
        Readiness { reasons: Arc::new(Mutex::new(reasons)) }
    }

    /// Adds a reason against readiness; it has no effect if the reason is already there.
    pub fn block(&self, reason: Reason) {
        let mut reasons = self.reasons.lock();
        if let Err(index) = reasons.binary_search(&reason) {
            reasons.insert(index, reason);
        }
    }

    /// Removes a reason; the process is ready when none is left.
    pub fn unblock(&self, reason: Reason) {
        let mut reasons = self.reasons.lock();
        if let Ok(index) = reasons.binary_search(&reason) {
            reasons.remove(index);
        }
    }

    /// Returns whether there is no reason against readiness.
    pub fn is_ready(&self) -> bool {
        self.reasons.lock().is_empty()
    }

    /// Returns the current reasons, sorted.
    pub fn reasons(&self) -> Vec<Reason> {
        self.reasons.lock().clone()
    }
}
