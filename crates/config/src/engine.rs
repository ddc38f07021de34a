//! Engines as input to planning.

use serde::Deserialize;
use serde::Serialize;
use wire::id;

/// One engine of the fleet that a plan is computed for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The engine's VM.
    pub vm: id::Engine,
    /// The data centre of the VM.
    pub centre: id::Centre,
    /// Models or pools that the engine holds now, sorted.
    pub holds: Vec<String>,
}
