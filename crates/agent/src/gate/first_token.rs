//! The recorder of a first token.

use std::sync::Arc;

use policy::gate::Id;

use crate::gate::Gate;

/// Records the time of the first token of one started work at the gate.
pub(crate) struct FirstToken {
    gate: Arc<Gate>,
    id: Id,
}

impl FirstToken {
    /// Returns a recorder for admitted work.
    pub(super) fn new(gate: &Arc<Gate>, id: Id) -> FirstToken {
        FirstToken { gate: Arc::clone(gate), id }
    }

    /// Records that the first token arrived now.
    pub(crate) fn record(&self) {
        let now = (self.gate.clock)();
        self.gate.state.lock().gate.record_first_token(self.id, now);
    }
}
