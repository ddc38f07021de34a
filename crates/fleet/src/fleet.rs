//! A running deployment of real processes.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use standins::vms::Stage;
use standins::vms::Vm;

use crate::Error;
use crate::binaries::Binaries;
use crate::deployment::Deployment;
use crate::endpoint::Endpoint;
use crate::endpoint::Kind;
use crate::folder::Folder;
use crate::http::Client;
use crate::killed::Killed;
use crate::node::Node;
use crate::operator::Operator;
use crate::ports::Ports;
use crate::process::Process;
use crate::standin::Standin;
use crate::start::Start;

/// HTTP status by which a daemon reports that it is ready.
const READY_STATUS: u16 = 200;
/// Time between two checks whether daemons are ready.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for daemons to finish their requests and stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for stand-ins to stop.
const STANDIN_STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// A running deployment of real processes, which are killed when it is dropped.
///
/// Fields are dropped in the order of their declaration: daemons first, then the
/// outside systems that they use, and the files last.
#[derive(Debug)]
pub struct Fleet {
    /// The entries.
    pub entries: Vec<Node>,
    /// The endpoint VMs, those of model engines first.
    pub endpoints: Vec<Endpoint>,
    /// Stand-in of the platform's key-value service.
    pub key_value: Standin,
    /// Stand-in of the platform's VM list.
    pub vms: Standin,
    /// Stand-in of the platform's weight store.
    pub weights: Standin,
    /// The operators' command line, which queries the first entries.
    pub operator: Operator,
    /// One command line per entry, which queries that entry alone; in the order of `entries`.
    pub views: Vec<Operator>,
    /// Reserves the ports until all processes have ended, so that a restarted process can
    /// listen on its own again.
    pub(crate) _ports: Ports,
    pub(crate) folder: Folder,
}

impl Fleet {
    /// Starts all processes and waits until each listens. No configuration is in force yet.
    ///
    /// # Errors
    ///
    /// The error of the first process that doesn't start; the others are killed.
    pub fn start(deployment: &Deployment, binaries: &Binaries) -> Result<Fleet, Error> {
        Start::new(deployment, binaries)?.run()
    }

    /// Returns the folder of the settings, profiles and logs.
    pub fn files(&self) -> &Path {
        self.folder.path()
    }

    /// Returns all daemons, entries first.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.entries.iter().chain(self.endpoints.iter().map(|endpoint| &endpoint.agent))
    }

    /// Kills all daemons, then starts all of them and waits until each listens.
    ///
    /// # Errors
    ///
    /// The error of the first process that doesn't start.
    pub fn restart(&mut self) -> Result<(), Error> {
        for node in self.nodes_mut() {
            node.process.kill();
        }
        for node in self.nodes_mut() {
            node.launch()?;
        }
        self.nodes().try_for_each(|node| node.process.wait_until_listening().map(drop))
    }

    fn nodes_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        let agents = self.endpoints.iter_mut().map(|endpoint| &mut endpoint.agent);
        self.entries.iter_mut().chain(agents)
    }

    /// Returns the endpoint VMs whose engine is of one kind.
    pub fn endpoints_of(&self, kind: Kind) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(move |endpoint| endpoint.kind == kind)
    }

    /// Marks the VM of an endpoint as leaving in the VM list.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if the VM list doesn't answer.
    pub async fn mark_leaving(&mut self, endpoint: usize, client: &Client) -> Result<(), Error> {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.agent.vm.state = Stage::Leaving;
        }
        let list: Vec<Vm> = self.nodes().map(|node| node.vm.clone()).collect();
        client.put(&self.vms.url("/standin/vms"), &list).await
    }

    /// Kills an endpoint and removes it from the VM list.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if the VM list doesn't answer.
    pub async fn remove(&mut self, endpoint: usize, client: &Client) -> Result<(), Error> {
        if endpoint < self.endpoints.len() {
            self.endpoints.remove(endpoint).kill();
        }
        let list: Vec<Vm> = self.nodes().map(|node| node.vm.clone()).collect();
        client.put(&self.vms.url("/standin/vms"), &list).await
    }

    /// Waits until the entry that the operators' command line queries sees every
    /// engine as working, since a plan assigns only engines that it sees.
    ///
    /// # Errors
    ///
    /// [`Error::Unready`] after `time`, with the agents that are not seen.
    pub async fn wait_until_seen(&self, time: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + time;
        loop {
            let view = self.operator.view().ok();
            let sees = |vm: &str| view.as_ref().is_some_and(|view| view.is_working(vm));
            let agents = self.endpoints.iter().map(|endpoint| &endpoint.agent.vm.vm);
            let missing: Vec<&str> =
                agents.map(String::as_str).filter(|agent| !sees(agent)).collect();
            if missing.is_empty() {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(Error::Unready(missing.join(", ")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every daemon reports that it is ready and every entry sees all
    /// daemons as working, since routers disagree for a while after a start.
    ///
    /// # Errors
    ///
    /// [`Error::Unready`] after `time`, with the daemons that are missing.
    pub async fn wait_until_ready(&self, client: &Client, time: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + time;
        loop {
            let missing = [self.unready_daemons(client).await, self.unseen_daemons()].concat();
            if missing.is_empty() {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(Error::Unready(missing.join(", ")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the daemons that don't report that they are ready.
    async fn unready_daemons(&self, client: &Client) -> Vec<String> {
        let mut missing = Vec::new();
        for node in self.nodes() {
            let status = client.status(&node.admin_url("/readyz")).await;
            if !matches!(status, Ok(READY_STATUS)) {
                missing.push(node.vm.vm.clone());
            }
        }
        missing
    }

    /// Returns the daemons that some entry doesn't see as working, with that entry.
    fn unseen_daemons(&self) -> Vec<String> {
        let views = self.entries.iter().zip(&self.views);
        let missing = views.flat_map(|(entry, operator)| {
            let view = operator.view().ok();
            let sees = move |vm: &str| view.as_ref().is_some_and(|view| view.is_working(vm));
            let missing = self.nodes().filter(move |node| !sees(&node.vm.vm));
            missing.map(|node| format!("{} as seen by {}", node.vm.vm, entry.vm.vm))
        });
        missing.collect()
    }

    /// Stops all processes gracefully: entries, then agents, then stand-ins.
    /// Returns those that did not stop in time and were killed.
    pub fn stop(mut self) -> Vec<Killed> {
        let entries = self.entries.iter_mut().map(|node| &mut node.process);
        let mut killed = stop_all(entries.collect(), STOP_TIMEOUT);
        let agents = self.endpoints.iter_mut().map(|endpoint| &mut endpoint.agent.process);
        killed.extend(stop_all(agents.collect(), STOP_TIMEOUT));
        let platform = [&mut self.key_value, &mut self.vms, &mut self.weights];
        let engines = self.endpoints.iter_mut().map(|endpoint| &mut endpoint.engine);
        let standins = engines.chain(platform).map(|standin| &mut standin.process);
        killed.extend(stop_all(standins.collect(), STANDIN_STOP_TIMEOUT));
        killed
    }
}

fn stop_all(processes: Vec<&mut Process>, time: Duration) -> Vec<Killed> {
    for process in &processes {
        let _ = process.terminate();
    }
    let deadline = Instant::now() + time;
    let mut killed = Vec::new();
    for process in processes {
        if !process.wait(deadline.saturating_duration_since(Instant::now())) {
            killed.push(Killed { name: process.name().to_owned(), log: process.log_tail() });
            process.kill();
        }
    }
    killed
}
