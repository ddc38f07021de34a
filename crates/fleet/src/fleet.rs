//! A whole deployment of real processes.

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
use crate::late::Late;
use crate::node::Node;
use crate::operator::Operator;
use crate::ports::Ports;
use crate::process::Process;
use crate::standin::Standin;
use crate::start::Start;

/// HTTP status of a daemon that is ready.
const READY: u16 = 200;
/// Time between two looks at whether daemons are ready.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that daemons get to end what they run.
const STOP_TIME: Duration = Duration::from_secs(5);
/// Time that stand-ins get to stop.
const STANDIN_STOP_TIME: Duration = Duration::from_secs(1);

/// A whole deployment of real processes, which end when it is dropped.
///
/// Fields are dropped in their order, so daemons end before the outside
/// systems that they use, and the files last.
#[derive(Debug)]
pub struct Fleet {
    /// Entries.
    pub entries: Vec<Node>,
    /// Endpoint VMs, those of model engines first.
    pub endpoints: Vec<Endpoint>,
    /// The platform's key-value service.
    pub key_value: Standin,
    /// The platform's VM list.
    pub vms: Standin,
    /// The platform's weight store.
    pub weights: Standin,
    /// The operators' command line.
    pub operator: Operator,
    /// The same for each entry alone, in their order.
    pub views: Vec<Operator>,
    /// Held until all processes have ended, so that one that is started again finds its own.
    pub(crate) _ports: Ports,
    pub(crate) folder: Folder,
}

impl Fleet {
    /// Starts all processes and waits until each listens. Nothing is confirmed yet.
    ///
    /// # Errors
    ///
    /// The first process that doesn't start; the others are ended.
    pub fn start(deployment: &Deployment, binaries: &Binaries) -> Result<Fleet, Error> {
        Start::new(deployment, binaries)?.run()
    }

    /// The folder of the settings, the profile and the logs.
    pub fn files(&self) -> &Path {
        self.folder.path()
    }

    /// All daemons, entries first.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.entries.iter().chain(self.endpoints.iter().map(|endpoint| &endpoint.agent))
    }

    /// Ends all daemons at once and starts them again together.
    ///
    /// # Errors
    ///
    /// The first process that doesn't start.
    pub fn restart(&mut self) -> Result<(), Error> {
        for node in self.nodes_mut() {
            node.process.kill();
        }
        for node in self.nodes_mut() {
            node.launch()?;
        }
        self.nodes().try_for_each(|node| node.process.listening().map(drop))
    }

    fn nodes_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        let agents = self.endpoints.iter_mut().map(|endpoint| &mut endpoint.agent);
        self.entries.iter_mut().chain(agents)
    }

    /// Endpoint VMs of one kind.
    pub fn endpoints_of(&self, kind: Kind) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(move |endpoint| endpoint.kind == kind)
    }

    /// Shows the VM of an endpoint as leaving from now on.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] where the VM list doesn't answer.
    pub async fn leave(&mut self, endpoint: usize, client: &Client) -> Result<(), Error> {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.agent.vm.state = Stage::Leaving;
        }
        let list: Vec<Vm> = self.nodes().map(|node| node.vm.clone()).collect();
        client.put(&self.vms.url("/standin/vms"), &list).await
    }

    /// Takes an endpoint out of the VM list and ends it at once.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] where the VM list doesn't answer.
    pub async fn lose(&mut self, endpoint: usize, client: &Client) -> Result<(), Error> {
        if endpoint < self.endpoints.len() {
            self.endpoints.remove(endpoint).kill();
        }
        let list: Vec<Vm> = self.nodes().map(|node| node.vm.clone()).collect();
        client.put(&self.vms.url("/standin/vms"), &list).await
    }

    /// Waits until the process that the operator asks sees every engine, since a
    /// plan shares out only those that are seen.
    ///
    /// # Errors
    ///
    /// [`Error::Unready`] if the time passes before.
    pub async fn seen(&self, time: Duration) -> Result<(), Error> {
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
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Waits until every daemon says that it is ready and every entry sees
    /// every other one work, since routers disagree for a while at the start.
    ///
    /// # Errors
    ///
    /// [`Error::Unready`] if the time passes before.
    pub async fn ready(&self, client: &Client, time: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + time;
        loop {
            let missing = [self.unready(client).await, self.unseen()].concat();
            if missing.is_empty() {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(Error::Unready(missing.join(", ")));
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Daemons that don't say that they are ready.
    async fn unready(&self, client: &Client) -> Vec<String> {
        let mut missing = Vec::new();
        for node in self.nodes() {
            let status = client.status(&node.admin_url("/readyz")).await;
            if !matches!(status, Ok(READY)) {
                missing.push(node.vm.vm.clone());
            }
        }
        missing
    }

    /// Daemons that an entry doesn't see work.
    fn unseen(&self) -> Vec<String> {
        let views = self.entries.iter().zip(&self.views);
        let missing = views.flat_map(|(entry, operator)| {
            let view = operator.view().ok();
            let sees = move |vm: &str| view.as_ref().is_some_and(|view| view.is_working(vm));
            let missing = self.nodes().filter(move |node| !sees(&node.vm.vm));
            missing.map(|node| format!("{} as seen by {}", node.vm.vm, entry.vm.vm))
        });
        missing.collect()
    }

    /// Stops all processes in order, gracefully as far as they do so in time.
    /// Gives those that had to be killed.
    pub fn stop(mut self) -> Vec<Late> {
        let entries = self.entries.iter_mut().map(|node| &mut node.process);
        let mut late = stop(entries.collect(), STOP_TIME);
        let agents = self.endpoints.iter_mut().map(|endpoint| &mut endpoint.agent.process);
        late.extend(stop(agents.collect(), STOP_TIME));
        let platform = [&mut self.key_value, &mut self.vms, &mut self.weights];
        let engines = self.endpoints.iter_mut().map(|endpoint| &mut endpoint.engine);
        let standins = engines.chain(platform).map(|standin| &mut standin.process);
        late.extend(stop(standins.collect(), STANDIN_STOP_TIME));
        late
    }
}

fn stop(processes: Vec<&mut Process>, time: Duration) -> Vec<Late> {
    for process in &processes {
        let _ = process.terminate();
    }
    let deadline = Instant::now() + time;
    let mut late = Vec::new();
    for process in processes {
        if !process.wait(deadline.saturating_duration_since(Instant::now())) {
            late.push(Late { name: process.name().to_owned(), log: process.log_tail() });
            process.kill();
        }
    }
    late
}
