//! Errors that end the daemon.

use std::io;
use std::net::AddrParseError;

use displaydoc::Display;

/// An error that ends the daemon.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Settings(settings::Error),
    /// {0}
    Telemetry(telemetry::Error),
    /// {0}
    Control(rpc::Error),
    /// the {0} address can't be listened on ({1}): check listen.{0} and that nothing else uses it
    Listen(&'static str, io::Error),
    /// the key-value service has no usable address ({0}): write platform.key_value as in "http://10.0.0.5:2379"
    Store(AddrParseError),
    /// a thread can't be started ({0}): check the VM's limits
    Thread(io::Error),
    /// signals can't be handled ({0}): check that the platform delivers SIGTERM
    Signal(io::Error),
}

impl std::error::Error for Error {}
