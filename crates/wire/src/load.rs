//! The load of an engine, as counted by its agent.

use serde::Deserialize;
use serde::Serialize;

/// The requests that an agent has accepted and not yet completed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run on the engine.
    pub running: u32,
    /// Requests that wait in the agent's queue.
    pub waiting: u32,
    /// Requests that the engine can run at once; its weight in the fleet's mean load.
    pub slots: u32,
    /// Tokens still to be processed or generated for the accepted requests.
    pub tokens: u64,
}

impl Load {
    /// Returns the number of requests accepted and not yet completed.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
