//! The platform's VM list, which lags behind the actual state.

use std::net::SocketAddr;

use displaydoc::Display;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;
use wire::id;
use wire::member::Role;

/// A reader of the list of live and leaving VMs.
pub trait Vms {
    /// Reads the list. Returns `None` if it has not changed since the last read of
    /// this reader.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    fn list(&self) -> LocalBoxFuture<'_, Result<Option<Vec<Vm>>, Error>>;
}

/// A VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub vm: id::Vm,
    /// The role of the process that runs there.
    pub role: Role,
    /// The VM's data centre.
    pub centre: id::Centre,
    /// The VM's region.
    pub region: id::Region,
    /// The address where its process takes requests.
    pub data: SocketAddr,
    /// The address where its process takes control calls.
    pub control: SocketAddr,
    /// Whether the platform is about to remove the VM.
    pub state: State,
}

/// The state of a listed VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The VM stays.
    Live,
    /// The platform will remove the VM soon.
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
