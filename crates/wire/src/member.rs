//! Descriptions of the processes of the system.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Load;
use crate::id;

/// The description of one process, as it last published it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its VM.
    pub vm: id::Vm,
    /// The run of the process; a higher one replaces a lower one.
    pub incarnation: id::Incarnation,
    /// Version of this description within the run; it grows with each change.
    pub version: u64,
    /// Its role.
    pub role: Role,
    /// Its data centre.
    pub centre: id::Centre,
    /// Its region.
    pub region: id::Region,
    /// Address where an entry takes callers' requests, or an agent attempts.
    pub data: SocketAddr,
    /// Address where it takes control calls.
    pub control: SocketAddr,
    /// Its state, which says whether it takes new work.
    pub state: State,
    /// Revision of the configuration in force there.
    pub revision: id::Revision,
    /// Models or pools that its engine holds, sorted; empty on an entry.
    pub holds: Vec<String>,
    /// Its engine's load; all zero on an entry.
    pub load: Load,
}

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Manages one engine and takes attempts for it.
    Agent,
}

/// The state of a process, which says whether it takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It is not ready yet.
    Starting,
    /// It takes work.
    Live,
    /// It completes the work that it has and takes no more.
    Leaving,
}
