//! A stand-in for an outside system.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;

use crate::Error;
use crate::binaries::Binaries;
use crate::process::Process;

/// Name of the program.
const PROGRAM: &str = "standin";
/// Text before the address in the line that says where it listens.
const ADDRESS_PREFIX: &str = "on ";

/// A process that stands in for an outside system.
#[derive(Debug)]
pub struct Standin {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its process.
    pub process: Process,
}

impl Standin {
    /// Starts it on a free port of `address`, with `args` as its subcommand and options.
    ///
    /// # Errors
    ///
    /// [`Error::Program`] if it has not been built, [`Error::File`] and [`Error::Spawn`] if it
    /// can't be started, [`Error::NotListening`] if it doesn't print its address in time.
    pub fn start(
        name: &str,
        args: &[String],
        address: IpAddr,
        binaries: &Binaries,
        logs: &Path,
    ) -> Result<Standin, Error> {
        let listen = ["--listen".to_owned(), SocketAddr::new(address, 0).to_string()];
        let args = [args, &listen].concat();
        let process = Process::start(name, &binaries.program(PROGRAM)?, &args, logs)?;
        let line = process.wait_until_listening()?;
        let address = line.strip_prefix(ADDRESS_PREFIX).and_then(|text| text.parse().ok());
        let not_listening =
            || Error::NotListening { name: name.to_owned(), log: format!("\n  {line}") };
        Ok(Standin { address: address.ok_or_else(not_listening)?, process })
    }

    /// Returns the URL of a path, which starts with a slash.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}
