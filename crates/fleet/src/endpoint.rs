//! An endpoint VM.

use crate::node::Node;
use crate::standin::Standin;

/// The kind of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model engine.
    Model,
    /// A plain engine.
    Plain,
}

/// An endpoint VM: an engine's stand-in and its agent.
#[derive(Debug)]
pub struct Endpoint {
    /// Kind of the engine.
    pub kind: Kind,
    /// The agent. Its field comes first, so that it is dropped before the engine.
    pub agent: Node,
    /// The engine's stand-in.
    pub engine: Standin,
}

impl Endpoint {
    /// Kills agent and engine, as a failure of the VM would.
    pub fn kill(&mut self) {
        self.agent.process.kill();
        self.engine.process.kill();
    }
}
