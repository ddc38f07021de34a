//! The answer to a status call: all members that one process knows.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wire::Load;
use wire::Stamp;
use wire::id;
use wire::member::Role;
use wire::member::State;

/// The members that the called process knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Stamp of the called process.
    pub stamp: Stamp,
    /// The members, with the called process itself, sorted by VM.
    pub members: Vec<Known>,
}

/// The latest description of one member that the called process has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Its VM.
    pub vm: id::Vm,
    /// The run of its process.
    pub incarnation: id::Incarnation,
    /// Its role.
    pub role: Role,
    /// Its data centre.
    pub centre: id::Centre,
    /// Its state, which says whether it takes new work.
    pub state: State,
    /// Revision of the configuration in force there.
    pub revision: id::Revision,
    /// Address where it takes control calls.
    pub control: SocketAddr,
    /// Models or pools that its engine holds, sorted; empty on an entry.
    pub holds: Vec<String>,
    /// Its engine's load.
    pub load: Load,
    /// Time since the called process last heard of the member.
    pub age: Duration,
}
