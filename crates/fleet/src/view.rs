//! The members as one process sees them.

use serde::Deserialize;

/// State of a member that accepts requests.
const LIVE_STATE: &str = "live";
/// Role of a member that runs beside an engine.
const AGENT_ROLE: &str = "agent";

/// The output of `lycheeknot --json status`, as far as it is used here.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct View {
    /// State known to the process that answered.
    pub status: Status,
}

/// The members that a process knows.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Status {
    /// All members.
    pub members: Vec<Member>,
}

/// A member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Member {
    /// Name of its VM.
    pub vm: String,
    /// `entry` or `agent`.
    pub role: String,
    /// `live`, if it accepts requests.
    pub state: String,
    /// Models or pools that its engine serves.
    pub holds: Vec<String>,
}

impl View {
    /// Returns whether the process on a VM accepts requests; an agent does so only if its
    /// engine serves a model or pool.
    pub fn is_working(&self, vm: &str) -> bool {
        let member = self.status.members.iter().find(|member| member.vm == vm);
        member.is_some_and(|member| {
            member.state == LIVE_STATE && (member.role != AGENT_ROLE || !member.holds.is_empty())
        })
    }
}
