//! A VM of the system with its daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use standins::vms::Role;
use standins::vms::Stage;
use standins::vms::Vm;

use crate::Error;
use crate::process::Process;

/// A VM of the system with its daemon.
#[derive(Debug)]
pub struct Node {
    /// The VM as the VM list shows it: name, role, data centre, addresses and state.
    pub vm: Vm,
    /// Address of the daemon's admin listener (health and metrics).
    pub admin: SocketAddr,
    /// The daemon's process.
    pub process: Process,
    launch: Launch,
}

/// The command by which a daemon is started.
#[derive(Debug, Clone)]
pub(crate) struct Launch {
    pub(crate) program: PathBuf,
    pub(crate) settings: PathBuf,
    pub(crate) args: Vec<String>,
    pub(crate) logs: PathBuf,
}

impl Launch {
    fn start(&self, name: &str) -> Result<Process, Error> {
        let settings = ["--settings".to_owned(), self.settings.display().to_string()];
        let args = [&settings[..], &self.args].concat();
        Process::start(name, &self.program, &args, &self.logs)
    }
}

impl Node {
    pub(crate) fn start(vm: Vm, admin: SocketAddr, launch: Launch) -> Result<Node, Error> {
        let process = launch.start(&vm.vm)?;
        Ok(Node { vm, admin, process, launch })
    }

    /// Kills the daemon, starts it again at the same addresses and waits until it listens.
    ///
    /// # Errors
    ///
    /// Those of [`Process::start`] and [`Process::wait_until_listening`].
    pub fn restart(&mut self) -> Result<(), Error> {
        self.process.kill();
        self.launch()?;
        self.process.wait_until_listening().map(drop)
    }

    /// Starts the daemon again without waiting until it listens. The old process must have ended.
    pub(crate) fn launch(&mut self) -> Result<(), Error> {
        self.process = self.launch.start(&self.vm.vm)?;
        Ok(())
    }

    /// Returns whether it is an entry.
    pub fn is_entry(&self) -> bool {
        self.vm.role == Role::Entry
    }

    /// Returns whether the VM list shows it as leaving.
    pub fn is_leaving(&self) -> bool {
        self.vm.state == Stage::Leaving
    }

    /// Returns the path of the daemon's settings file.
    pub fn settings(&self) -> &Path {
        &self.launch.settings
    }

    /// Returns the URL of a path on the data listener, which serves requests and attempts.
    pub fn data_url(&self, path: &str) -> String {
        format!("http://{}{path}", self.vm.data)
    }

    /// Returns the URL of a path on the admin listener, such as `/metrics`.
    pub fn admin_url(&self, path: &str) -> String {
        format!("http://{}{path}", self.admin)
    }
}
