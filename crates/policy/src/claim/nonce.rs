//! Identifiers of attempts.

use serde::Deserialize;
use serde::Serialize;
use wire::id;

/// Identifies one attempt, unique across agents and their restarts.
///
/// A message that arrives twice starts two attempts with different nonces, so neither
/// mistakes the other's claim for its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Nonce {
    /// The agent's VM.
    pub vm: id::Vm,
    /// The incarnation of the agent's process.
    pub incarnation: id::Incarnation,
    /// Number of the attempt within that incarnation.
    pub serial: u64,
}
