//! Stamps that identify the sender of a message and its configuration.

use serde::Deserialize;
use serde::Serialize;

use crate::id;

/// The identity of a sender and its revision, carried by every message.
///
/// A receiver recognises messages of an earlier run of the sender by it, and learns
/// of a newer configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The sender's VM.
    pub vm: id::Vm,
    /// The run of the sender's process.
    pub incarnation: id::Incarnation,
    /// Revision of the configuration in force at the sender.
    pub revision: id::Revision,
}
