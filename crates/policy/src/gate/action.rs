//! Decisions of the gate on single tickets.

use wire::Refusal;

use crate::gate::Id;

/// A decision on one ticket, which the caller carries out at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the engine.
    Start(Id),
    /// Refuse the request, which never started.
    Refuse(Id, Refusal),
}
