//! The recorder of a first token.

use std::sync::Arc;

use policy::gate::Id;

use crate::gate::Gate;

/// Records at the gate when the first token of a started request arrives.
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
