//! Identity of a process.

use std::net::SocketAddr;

use wire::id;
use wire::member::Role;

/// The properties of a process that are fixed by its settings and its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its VM.
    pub vm: id::Vm,
    /// Its incarnation: the time of its start in milliseconds since the Unix epoch.
    pub incarnation: id::Incarnation,
    /// Its role in the fleet.
    pub role: Role,
    /// Its data centre.
    pub centre: id::Centre,
    /// Its region.
    pub region: id::Region,
    /// The address at which it accepts callers' requests or attempts.
    pub data: SocketAddr,
    /// The address at which it accepts control calls.
    pub control: SocketAddr,
}
