//! The word of a first token.

use std::sync::Arc;

use policy::gate::Id;

use crate::gate::Gate;

/// Tells the gate of the first token of started work.
pub(crate) struct Token {
    gate: Arc<Gate>,
    id: Id,
}

impl Token {
    /// The token of work that passed the gate.
    pub(super) fn new(gate: &Arc<Gate>, id: Id) -> Token {
        Token { gate: Arc::clone(gate), id }
    }

    /// The first token came just now.
    pub(crate) fn came(&self) {
        let now = (self.gate.clock)();
        self.gate.state.lock().gate.record_first_token(self.id, now);
    }
}
