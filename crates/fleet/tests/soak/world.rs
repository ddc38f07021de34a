//! The processes, stand-ins and faults of one seed.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use fleet::Binaries;
use fleet::Ports;
use fleet::Process;
use fleet::Standin;
use platform::Client;
use services::Store;
use services::store::Commit;
use services::store::Put;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::client;
use crate::endpoint::Endpoint;
use crate::ledger::Ledger;
use crate::mood::Mood;
use crate::plan;
use crate::plan::Fault;
use crate::plan::Step;
use crate::proxy::Mode;
use crate::proxy::Proxy;

pub const GATEWAYS: usize = 3;
pub const ENDPOINTS: usize = 4;

/// Clients of each gateway.
const CLIENTS: usize = 4;

/// A process that was killed is started again after this, as the platform does.
const RESTART: Duration = Duration::from_millis(300);

/// The time between the last fault and the last look, in which all recovers.
const RECOVERY: Duration = Duration::from_secs(5);

/// The share of requests that has to be served rightly after it.
const RECOVERED: f64 = 0.95;

/// Writes that may fail before the store is brought back.
const PATIENCE: u32 = 5;

/// The store holds the newest configuration here.
const CONFIGURATION: &str = "op/config";

pub struct Gateway {
    process: Process,
    clients: SocketAddr,
    settings: PathBuf,
    pub to_store: Proxy,
    /// The newest configuration that this run of the process has shown.
    pub shown: u64,
}

pub struct World {
    folder: PathBuf,
    store: Standin,
    operator: Client,
    ports: Ports,
    pub gateways: Vec<Gateway>,
    endpoints: Vec<(Endpoint, Proxy)>,
    pub ledger: Ledger,
    pub version: u64,
    names: u64,
}

/// Plays a seed and gives the promises that were broken, with what came of the requests.
pub async fn play(seed: u64) -> (Vec<String>, String) {
    let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut world = World::start(&folder).await;
    let cancel = CancellationToken::new();
    let mut clients = Vec::new();
    for (index, gateway) in world.gateways.iter().enumerate() {
        for number in 0..CLIENTS {
            let name = format!("c{index}{number}");
            let seed = seed * 1_000 + (index * CLIENTS + number) as u64;
            let (ledger, cancel) = (world.ledger.clone(), cancel.clone());
            clients.push(tokio::spawn(client::run(name, seed, gateway.clients, ledger, cancel)));
        }
    }
    world.run(plan::draw(seed)).await;
    world.heal().await;
    let recovered = Instant::now();
    for _ in 0..5 {
        sleep(Duration::from_millis(300)).await;
        world.probe().await;
    }
    let share = world.ledger.share_right(recovered);
    if share < RECOVERED {
        world.ledger.broke(format!("only {share:.2} are served after all faults"));
    }
    cancel.cancel();
    for client in clients {
        let _ = client.await;
    }
    let verdict = world.ledger.verdict();
    let counts = world.ledger.counts();
    drop(world);
    if verdict.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    (verdict, counts)
}

impl World {
    pub async fn start(folder: &Path) -> World {
        let binaries = Binaries::beside();
        let args = ["key-value".to_owned()];
        let address = "127.0.0.1".parse().expect("an address");
        let store = Standin::start("store", &args, address, &binaries, folder).expect("a store");
        let ledger = Ledger::default();
        let operator = Client::new(store.address);
        let mut world = World {
            folder: folder.to_owned(),
            store,
            operator,
            ports: Ports::default(),
            gateways: Vec::new(),
            endpoints: Vec::new(),
            ledger,
            version: 0,
            names: 0,
        };
        world.configure().await;
        for _ in 0..ENDPOINTS {
            let name = world.name();
            let endpoint = Endpoint::start(&name, world.ledger.clone()).await;
            let proxy = Proxy::start(endpoint.address).await;
            world.endpoints.push((endpoint, proxy));
            world.announce(world.endpoints.len() - 1, "ready").await;
        }
        let controls: Vec<SocketAddr> = (0..GATEWAYS).map(|_| world.port()).collect();
        for index in 0..GATEWAYS {
            let gateway = world.gateway(index, &controls, &binaries).await;
            world.gateways.push(gateway);
        }
        for index in 0..GATEWAYS {
            world.wait_until_ready(index).await;
        }
        world
    }

    async fn gateway(
        &mut self,
        index: usize,
        controls: &[SocketAddr],
        binaries: &Binaries,
    ) -> Gateway {
        let to_store = Proxy::start(self.store.address).await;
        let (clients, admin, control) = (self.port(), self.port(), controls[index]);
        let text = format!(
            "role = \"gateway\"\nvm = \"g{index}\"\ncentre = \"a\"\n\n[listen]\nclients = \"{clients}\"\n\
             admin = \"{admin}\"\ncontrol = \"{control}\"\n\n[peer]\nseeds = [\"{}\"]\n\n[platform]\nstore = \"{}\"\n\n[limit]\ndescriptors = 1000\n\
             stop_notice_ms = 300\nstop_grace_ms = 5000\n\n[retry]\nratio = 0.2\nslack = 60\nprocesses = 3\n",
            controls[0], to_store.address
        );
        let settings = self.folder.join(format!("g{index}.toml"));
        std::fs::write(&settings, text).expect("the settings");
        let process = launch(index, &settings, binaries, &self.folder);
        Gateway { process, clients, settings, to_store, shown: 0 }
    }

    fn port(&mut self) -> SocketAddr {
        self.ports.reserve(Ipv4Addr::LOCALHOST.into()).expect("a free port")
    }

    /// Carries out the faults in their time, and looks at configurations meanwhile.
    async fn run(&mut self, steps: Vec<Step>) {
        let start = Instant::now();
        let mut ends: Vec<(Duration, Fault)> = Vec::new();
        let mut steps = steps.into_iter().peekable();
        loop {
            let now = start.elapsed();
            let (due, later) = ends.into_iter().partition(|(end, _)| *end <= now);
            ends = later;
            for (_, fault) in due {
                self.end(&fault).await;
            }
            while let Some(step) = steps.next_if(|step| step.at <= now) {
                if !step.fault.is_planned() {
                    let is_freeze = matches!(step.fault, Fault::FreezeGateway(_));
                    self.ledger.fault(step.time + RESTART, is_freeze);
                }
                self.begin(&step.fault).await;
                ends.push((now + step.time, step.fault));
            }
            if steps.peek().is_none() && ends.is_empty() {
                return;
            }
            self.probe().await;
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn begin(&mut self, fault: &Fault) {
        match fault {
            Fault::KillGateway(index) => self.gateways[*index].process.kill(),
            Fault::FreezeGateway(index) => self.gateways[*index].process.freeze().unwrap_or(()),
            Fault::StopGateway(index) => self.gateways[*index].process.terminate().unwrap_or(()),
            Fault::CutStore(index, mode) => self.gateways[*index].to_store.set(*mode),
            Fault::StoreAway => self.store_fault(r#"{"outage":true}"#).await,
            Fault::StoreSlow => self.store_fault(r#"{"delay_ms":400}"#).await,
            Fault::StoreLosesAnswers => self.store_fault(r#"{"lose_answers":5}"#).await,
            Fault::StoreForgets => self.post("/standin/compact", "").await,
            Fault::CutEndpoint(index, mode) => self.endpoints[*index].1.set(*mode),
            Fault::Spoil(index, mood) => self.endpoints[*index].0.set_mood(*mood),
            Fault::Replace(index) => {
                let old = self.endpoints[*index].0.name();
                let new = self.name();
                self.endpoints[*index].0.rename(&new);
                sleep(Duration::from_millis(100)).await;
                self.forget(&old).await;
                self.announce(*index, "ready").await;
            }
            Fault::Drain(index) => {
                self.announce(*index, "draining").await;
                self.endpoints[*index].0.leaves();
            }
            Fault::Configure => self.configure().await,
        }
    }

    pub async fn end(&mut self, fault: &Fault) {
        match fault {
            Fault::KillGateway(index) => self.restart(*index),
            Fault::FreezeGateway(index) => self.gateways[*index].process.thaw().unwrap_or(()),
            Fault::StopGateway(index) => {
                let gateway = &mut self.gateways[*index];
                // Another fault may have ended or begun it meanwhile.
                while gateway.process.is_running() && gateway.process.terminate().is_ok() {
                    sleep(Duration::from_millis(20)).await;
                    let _ = gateway.process.thaw();
                }
                self.restart(*index);
            }
            Fault::CutStore(index, _) => self.gateways[*index].to_store.set(Mode::Pass),
            Fault::StoreAway | Fault::StoreSlow | Fault::StoreLosesAnswers => {
                self.store_fault("{}").await;
            }
            Fault::CutEndpoint(index, _) => self.endpoints[*index].1.set(Mode::Pass),
            Fault::Spoil(index, _) => self.endpoints[*index].0.set_mood(Mood::Good),
            Fault::Drain(index) => {
                let old = self.endpoints[*index].0.name();
                self.forget(&old).await;
                let new = self.name();
                self.endpoints[*index].0.rename(&new);
                self.announce(*index, "ready").await;
            }
            Fault::StoreForgets | Fault::Replace(_) | Fault::Configure => {}
        }
    }

    async fn heal(&mut self) {
        sleep(RECOVERY).await;
        for index in 0..GATEWAYS {
            if !self.gateways[index].process.is_running() {
                self.restart(index);
            }
            self.wait_until_ready(index).await;
        }
    }

    fn restart(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        if gateway.process.is_running() {
            return;
        }
        gateway.process = launch(index, &gateway.settings, &Binaries::beside(), &self.folder);
        gateway.shown = 0;
    }

    /// A gateway never loses a route of a configuration that it has shown.
    pub async fn probe(&mut self) {
        for gateway in &mut self.gateways {
            let pid = gateway.process.pid();
            let Some(known) = client::probe(gateway.clients, self.version).await else { continue };
            if known < gateway.shown && gateway.process.pid() == pid {
                let shown = gateway.shown;
                self.ledger.broke(format!("a gateway went back from {shown} to {known}"));
            }
            gateway.shown = known.max(gateway.shown);
        }
    }

    async fn configure(&mut self) {
        self.version += 1;
        let route = |name: &str, prefix: &str, kind: &str, time: u32, more: &str| {
            format!(
                r#"{{"name":"{name}","hostname":"h.example","prefix":"{prefix}","type":"{kind}",
                   "service":"s","timeout_ms":{time},"goal_ms":400{more}}}"#
            )
        };
        let mut routes = vec![
            route("look", "/look/", "idempotent", 1_200, r#","attempts":3"#),
            route("book", "/book/", "mutating", 1_200, ""),
            route("tell", "/tell/", "stream", 4_000, r#","attempts":3,"resumable":true"#),
            route("once", "/once/", "stream", 4_000, ""),
        ];
        for version in 1..=self.version {
            let (name, prefix) = (format!("v{version}"), format!("/v{version}/"));
            routes.push(route(&name, &prefix, "idempotent", 1_200, ""));
        }
        let text = format!(
            r#"{{"version":{},"routes":[{}],"services":[{{"name":"s"}}],
               "tenants":[{{"name":"club","api_keys":["k1"]}}]}}"#,
            self.version,
            routes.join(",")
        );
        self.put(CONFIGURATION, &text).await;
    }

    async fn announce(&self, index: usize, state: &str) {
        let (endpoint, proxy) = &self.endpoints[index];
        let text = format!(
            r#"{{"service":"s","address":"{}","zone":"a","slots":50,"state":"{state}","seq":1}}"#,
            proxy.address
        );
        self.put(&format!("servers/{}", endpoint.name()), &text).await;
    }

    async fn forget(&self, name: &str) {
        self.commit(&Commit { removes: vec![format!("servers/{name}")], ..Commit::default() })
            .await;
    }

    async fn put(&self, key: &str, text: &str) {
        let put = Put { key: key.to_owned(), value: text.as_bytes().to_vec(), lease: None };
        self.commit(&Commit { puts: vec![put], ..Commit::default() }).await;
    }

    /// Writes until the store has it; all writes here may be done twice. A store
    /// that stays away is brought back, since later steps rest on the write.
    async fn commit(&self, commit: &Commit) {
        for _ in 0..PATIENCE {
            match self.operator.commit(commit).await {
                Ok(_) => return,
                Err(error) => log::debug!("written again: {error}"),
            }
            sleep(Duration::from_millis(50)).await;
        }
        self.store_fault("{}").await;
        self.operator.commit(commit).await.expect("the store answers again");
    }

    async fn store_fault(&self, faults: &str) {
        self.post("/standin/faults", faults).await;
    }

    async fn post(&self, path: &str, body: &str) {
        let request = http::Request::builder()
            .method("POST")
            .uri(path)
            .header("host", "store")
            .body(http_body_util::Full::new(bytes::Bytes::copy_from_slice(body.as_bytes())))
            .expect("a request");
        let mut connection = link::Connection::open(self.store.address).await.expect("the store");
        connection.send(request).await.expect("the store answers");
    }

    async fn wait_until_ready(&self, index: usize) {
        let start = Instant::now();
        while client::probe(self.gateways[index].clients, 1).await != Some(1) {
            if start.elapsed() > Duration::from_secs(10) {
                self.ledger.broke(format!("gateway {index} is not ready after 10 s"));
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn name(&mut self) -> String {
        self.names += 1;
        format!("e{}", self.names)
    }
}

fn launch(index: usize, settings: &Path, binaries: &Binaries, logs: &Path) -> Process {
    let program = binaries.program("lycheeknotd").expect("the daemon is built");
    let args = ["--settings".to_owned(), settings.display().to_string()];
    Process::start(&format!("g{index}"), &program, &args, logs).expect("the daemon starts")
}
