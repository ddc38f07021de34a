//! Starts the processes of a deployment.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;

use standins::vms::Role;
use standins::vms::Stage;
use standins::vms::Vm;

use crate::Error;
use crate::binaries::Binaries;
use crate::deployment::Deployment;
use crate::endpoint::Endpoint;
use crate::endpoint::Kind;
use crate::fleet::Fleet;
use crate::folder::Folder;
use crate::node::Launch;
use crate::node::Node;
use crate::operator::Operator;
use crate::ports::Ports;
use crate::settings::Engine;
use crate::settings::Limit;
use crate::settings::Listen;
use crate::settings::OPERATOR_KEY;
use crate::settings::PEER_KEY;
use crate::settings::Peer;
use crate::settings::Platform;
use crate::settings::Profile;
use crate::settings::Settings;
use crate::standin::Standin;

/// IP address of the platform's stand-ins.
const PLATFORM_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Program name of the daemon.
const DAEMON: &str = "lycheeknotd";
/// Program name of the operators' command line.
const OPERATOR: &str = "lycheeknot";
/// Number of entries in the command line's main profile.
const PROFILE_ENTRIES: usize = 2;
/// Time for requests in flight to finish when a daemon stops, in milliseconds.
const STOP_GRACE_MS: u64 = 4_000;
/// Time that an answer keeps running after its entry disconnects, in milliseconds.
const RESUME_GRACE_MS: u64 = 2_000;

/// A VM whose daemon hasn't been started yet.
struct Allocation {
    vm: Vm,
    admin: SocketAddr,
}

/// A running engine whose agent hasn't been started yet.
struct Backend {
    kind: Kind,
    allocation: Allocation,
    engine: Standin,
}

/// Starts the processes of a deployment: stand-ins first, since daemons need their
/// addresses, then entries and agents.
pub(crate) struct Start<'a> {
    deployment: &'a Deployment,
    binaries: &'a Binaries,
    folder: Folder,
    ports: Ports,
}

impl<'a> Start<'a> {
    pub(crate) fn new(
        deployment: &'a Deployment,
        binaries: &'a Binaries,
    ) -> Result<Start<'a>, Error> {
        let folder = Folder::new()?;
        Ok(Start { deployment, binaries, folder, ports: Ports::default() })
    }

    pub(crate) fn run(mut self) -> Result<Fleet, Error> {
        let entries = self.allocate_entries()?;
        let backends = self.start_engines()?;
        let key_value =
            self.start_standin("key-value", &["key-value".to_owned()], PLATFORM_ADDRESS)?;
        let weights = self.start_standin("weights", &["weights".to_owned()], PLATFORM_ADDRESS)?;
        let vms = self.start_vm_list(&entries, &backends)?;
        let platform = Platform {
            key_value: key_value.url(""),
            vms: vms.url(""),
            weights: Some(weights.url("")),
        };
        let operator = self.operator("profile", &platform, &entries)?;
        let view = |entry: &Allocation| {
            self.operator(&entry.vm.vm, &platform, std::slice::from_ref(entry))
        };
        let views = entries.iter().map(view).collect::<Result<_, _>>()?;
        let entries = self.start_entries(entries, &platform)?;
        let endpoints = self.start_agents(backends, &platform)?;
        let Start { folder, ports: _ports, .. } = self;
        let fleet =
            Fleet { entries, endpoints, key_value, vms, weights, operator, views, _ports, folder };
        for node in fleet.nodes() {
            node.process.wait_until_listening()?;
        }
        Ok(fleet)
    }

    fn allocate_entries(&mut self) -> Result<Vec<Allocation>, Error> {
        (0..self.deployment.entries)
            .map(|index| self.allocate(index, Role::Entry, "entry"))
            .collect()
    }

    fn start_engines(&mut self) -> Result<Vec<Backend>, Error> {
        let model = self.deployment.model.args();
        let plain = vec!["registry".to_owned()];
        let models = (0..self.deployment.model_engines).map(|index| (index, Kind::Model, &model));
        let plains = (0..self.deployment.plain_engines).map(|index| (index, Kind::Plain, &plain));
        let all: Vec<_> = models.chain(plains).collect();
        all.into_iter().map(|(index, kind, args)| self.start_engine(index, kind, args)).collect()
    }

    fn start_engine(
        &mut self,
        index: usize,
        kind: Kind,
        args: &[String],
    ) -> Result<Backend, Error> {
        let group = match kind {
            Kind::Model => "model",
            Kind::Plain => self.deployment.pool.as_str(),
        };
        let allocation = self.allocate(index, Role::Agent, group)?;
        let name = format!("{}-engine", allocation.vm.vm);
        let engine = self.start_standin(&name, args, allocation.vm.data.ip())?;
        Ok(Backend { kind, allocation, engine })
    }

    fn allocate(&mut self, index: usize, role: Role, group: &str) -> Result<Allocation, Error> {
        let (centre, address) = self.deployment.centre(index);
        let number = index / self.deployment.centres.len().max(1) + 1;
        let vm = Vm {
            vm: format!("{centre}-{group}-{number}"),
            role,
            centre,
            region: self.deployment.region.clone(),
            data: self.ports.reserve(address)?,
            control: self.ports.reserve(address)?,
            state: Stage::Live,
        };
        Ok(Allocation { vm, admin: self.ports.reserve(address)? })
    }

    fn start_standin(
        &self,
        name: &str,
        args: &[String],
        address: IpAddr,
    ) -> Result<Standin, Error> {
        Standin::start(name, args, address, self.binaries, self.folder.path())
    }

    fn start_vm_list(
        &self,
        entries: &[Allocation],
        backends: &[Backend],
    ) -> Result<Standin, Error> {
        let agents = backends.iter().map(|backend| &backend.allocation.vm);
        let list: Vec<&Vm> =
            entries.iter().map(|allocation| &allocation.vm).chain(agents).collect();
        let text = serde_json::to_string(&list).unwrap_or_default();
        let file = self.folder.write("vms.json", &text)?;
        let args = ["vms".to_owned(), "--file".to_owned(), file.display().to_string()];
        self.start_standin("vms", &args, PLATFORM_ADDRESS)
    }

    /// Returns the command line with a profile that contains the first of `entries`.
    fn operator(
        &self,
        name: &str,
        platform: &Platform,
        entries: &[Allocation],
    ) -> Result<Operator, Error> {
        let profile = Profile {
            cluster: self.deployment.cluster.clone(),
            operator: "demo".to_owned(),
            key_value: platform.key_value.clone(),
            control: entries
                .iter()
                .take(PROFILE_ENTRIES)
                .map(|allocation| allocation.vm.control)
                .collect(),
            key: OPERATOR_KEY,
        };
        let profile = self.folder.write(&format!("operator-{name}.toml"), &render(&profile))?;
        Ok(Operator::new(self.binaries.program(OPERATOR)?, profile))
    }

    fn start_entries(
        &self,
        allocations: Vec<Allocation>,
        platform: &Platform,
    ) -> Result<Vec<Node>, Error> {
        let platform = Platform { weights: None, ..platform.clone() };
        allocations
            .into_iter()
            .map(|allocation| self.start_node(allocation, "entry", &platform, None))
            .collect()
    }

    fn start_agents(
        &self,
        backends: Vec<Backend>,
        platform: &Platform,
    ) -> Result<Vec<Endpoint>, Error> {
        let start = |backend: Backend| {
            let engine = self.engine_settings(&backend);
            let agent = self.start_node(backend.allocation, "agent", platform, Some(engine))?;
            Ok(Endpoint { kind: backend.kind, agent, engine: backend.engine })
        };
        backends.into_iter().map(start).collect()
    }

    fn engine_settings(&self, backend: &Backend) -> Engine {
        let address = backend.engine.url("");
        match backend.kind {
            Kind::Model => Engine {
                kind: "model",
                pool: None,
                address,
                slots: self.deployment.model.slots,
                checks_fence: true,
            },
            Kind::Plain => Engine {
                kind: "plain",
                pool: Some(self.deployment.pool.clone()),
                address,
                slots: self.deployment.plain_slots,
                checks_fence: false,
            },
        }
    }

    fn start_node(
        &self,
        allocation: Allocation,
        role: &'static str,
        platform: &Platform,
        engine: Option<Engine>,
    ) -> Result<Node, Error> {
        let Allocation { vm, admin } = allocation;
        let settings = Settings {
            cluster: self.deployment.cluster.clone(),
            role,
            vm: vm.vm.clone(),
            centre: vm.centre.clone(),
            region: vm.region.clone(),
            listen: Listen { data: vm.data, control: vm.control, admin },
            peer: Peer { key: PEER_KEY, operator_keys: [OPERATOR_KEY] },
            platform: platform.clone(),
            engine,
            limit: Limit {
                workers: self.deployment.workers,
                stop_grace_ms: STOP_GRACE_MS,
                resume_grace_ms: RESUME_GRACE_MS,
            },
        };
        let launch = Launch {
            program: self.binaries.program(DAEMON)?,
            settings: self.write_settings(&settings)?,
            args: self.deployment.args(),
            logs: self.folder.path().to_owned(),
        };
        Node::start(vm, admin, launch)
    }

    fn write_settings(&self, settings: &Settings) -> Result<PathBuf, Error> {
        self.folder.write(&format!("{}.toml", settings.vm), &render(settings))
    }
}

fn render<T: serde::Serialize>(value: &T) -> String {
    toml::to_string(value).unwrap_or_default()
}
