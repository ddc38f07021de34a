//! The platform's list of VMs, which lags behind.

use std::net::SocketAddr;

use displaydoc::Display;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;
use wire::id;
use wire::member::Role;

/// The list of live and leaving VMs.
pub trait Vms {
    /// Reads the list, or `None` if it has not changed since it was last read here.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    fn list(&self) -> LocalBoxFuture<'_, Result<Option<Vec<Vm>>, Error>>;
}

/// A VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: id::Vm,
    /// Which process of the system runs there.
    pub role: Role,
    /// Its data centre.
    pub centre: id::Centre,
    /// Its region.
    pub region: id::Region,
    /// Where its process takes requests.
    pub data: SocketAddr,
    /// Where its process takes control calls.
    pub control: SocketAddr,
    /// Whether the platform is about to take it away.
    pub state: State,
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It stays.
    Live,
    /// It goes soon.
    Leaving,
}

/// Why the list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the VM list can't be reached ({0}): members known so far stay; check platform.vms
    Down(String),
    /// the VM list can't be read ({0}): members known so far stay; check platform.vms
    Protocol(String),
}

impl std::error::Error for Error {}
