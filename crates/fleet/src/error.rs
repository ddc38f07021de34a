//! Errors of starting, querying and stopping a deployment.

use std::io;
use std::path::PathBuf;

use displaydoc::Display;

/// An error of starting, querying or stopping a deployment.
#[derive(Debug, Display)]
pub enum Error {
    /// the program {0:?} is not there; run `cargo build --workspace` with the same profile first
    Program(PathBuf),
    /// `{name}` can't be started: {source}; check the limits of the machine
    Spawn {
        /// Name of the process.
        name: String,
        /// What the system answered.
        source: io::Error,
    },
    /// `{name}` did not say that it listens; the end of its log:{log}
    NotListening {
        /// Name of the process.
        name: String,
        /// Last lines of its log.
        log: String,
    },
    /// no signal can be sent to process {pid}: {source}; check whether it still runs
    Signal {
        /// Id of the process.
        pid: u32,
        /// What the system answered.
        source: io::Error,
    },
    /// {path:?} can't be used: {source}; check that the folder for temporary files can be written
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// no port is free on {address}: {source}; use loopback addresses
    Port {
        /// IP address for which a port was requested.
        address: std::net::IpAddr,
        /// What the system answered.
        source: io::Error,
    },
    /// `lycheeknot {command}` failed: {output}
    Operator {
        /// Arguments of the command.
        command: String,
        /// What it printed to standard output and standard error.
        output: String,
    },
    /// {url} gave no answer: {reason}; check whether its process runs
    Http {
        /// URL of the request.
        url: String,
        /// Why the request failed.
        reason: String,
    },
    /// not ready in time: {0}; look at the logs of these processes
    Unready(String),
}

impl std::error::Error for Error {}
