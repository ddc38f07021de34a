//! Listeners of a daemon.

use std::net::SocketAddr;

use crate::fault::Fault;
use crate::fault::Kind;
use crate::key;
use crate::section::Section;

/// Addresses of the listeners of an entry or agent. With port 0 the operating system
/// chooses a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Listener for requests of callers to an entry, or attempts of entries to an agent.
    pub data: SocketAddr,
    /// Listener for control calls of other processes.
    pub control: SocketAddr,
    /// Listener for JSON-RPC of operators, `/metrics`, `/healthz` and `/readyz`.
    pub admin: SocketAddr,
}

impl Listen {
    /// Reads the section, and returns `None` if an address is missing or has a fault.
    pub(crate) fn read(section: &Section<'_>, faults: &mut Vec<Fault>) -> Option<Listen> {
        section.check_keys(&[key::LISTEN], faults);
        let data = section.socket("data", faults);
        let control = section.socket("control", faults);
        let admin = section.socket("admin", faults);
        if is_same(control, data) {
            section.push("control", Kind::Taken, faults);
        }
        if is_same(admin, data) || is_same(admin, control) {
            section.push("admin", Kind::Taken, faults);
        }
        Some(Listen { data: data?, control: control?, admin: admin? })
    }
}

/// Returns whether two listeners have the same address; port 0 is never the same.
fn is_same(one: Option<SocketAddr>, other: Option<SocketAddr>) -> bool {
    one.is_some_and(|socket| socket.port() != 0) && one == other
}
