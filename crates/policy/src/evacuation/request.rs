//! Requests of operators.

use crate::evacuation::Centre;

/// An operator's request for an evacuation, as the store has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The data centre.
    pub centre: Centre,
    /// The store's revision at which it was written. A copy of the store has it unchanged.
    pub revision: u64,
}
