//! Assignments of models and pools to engines.

use serde::Deserialize;
use serde::Serialize;
use wire::id;

/// The models or pools that one engine is to hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The engine.
    pub engine: id::Engine,
    /// Models or pools, sorted.
    pub holds: Vec<String>,
}
