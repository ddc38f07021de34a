//! The gateways, stand-ins and faults of one run.

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

use crate::behaviour::Behaviour;
use crate::client;
use crate::endpoint::Endpoint;
use crate::ledger::Ledger;
use crate::plan;
use crate::plan::Fault;
use crate::plan::Step;
use crate::proxy::Mode;
use crate::proxy::Proxy;

pub const GATEWAYS: usize = 3;
pub const ENDPOINTS: usize = 4;

/// Number of clients of each gateway.
const CLIENTS: usize = 4;

/// Time by which the effect of an unplanned fault outlasts it, while the platform would
/// restart a killed process.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Time for recovery between the last fault and the final check.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Share of requests that must get the correct answer after the recovery.
const MIN_CORRECT_SHARE: f64 = 0.95;

/// Number of failed writes after which the store's faults are ended.
const MAX_WRITE_FAILURES: u32 = 5;

/// Key of the configuration in the store.
const CONFIGURATION_KEY: &str = "op/config";

/// A gateway process with its proxy to the store.
pub struct Gateway {
    process: Process,
    clients: SocketAddr,
    settings: PathBuf,
    pub store_proxy: Proxy,
    /// Newest configuration version that this run of the process has served.
    pub shown: u64,
}

/// All processes and stand-ins of a run.
pub struct Cluster {
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

/// Runs a seed and returns the violated guarantees and the number of requests by how
/// they ended.
pub async fn run(seed: u64) -> (Vec<String>, String) {
    let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut cluster = Cluster::start(&folder).await;
    let cancel = CancellationToken::new();
    let mut clients = Vec::new();
    for (index, gateway) in cluster.gateways.iter().enumerate() {
        for number in 0..CLIENTS {
            let name = format!("c{index}{number}");
            let seed = seed * 1_000 + (index * CLIENTS + number) as u64;
            let (ledger, cancel) = (cluster.ledger.clone(), cancel.clone());
            clients.push(tokio::spawn(client::run(name, seed, gateway.clients, ledger, cancel)));
        }
    }
    cluster.run_steps(plan::draw_steps(seed)).await;
    cluster.recover().await;
    let recovered = Instant::now();
    for _ in 0..5 {
        sleep(Duration::from_millis(300)).await;
        cluster.probe().await;
    }
    let share = cluster.ledger.correct_share(recovered);
    if share < MIN_CORRECT_SHARE {
        cluster
            .ledger
            .record_violation(format!("only {share:.2} of the requests succeed after all faults"));
    }
    cancel.cancel();
    for client in clients {
        let _ = client.await;
    }
    let violations = cluster.ledger.violations();
    let counts = cluster.ledger.counts();
    drop(cluster);
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    (violations, counts)
}

impl Cluster {
    pub async fn start(folder: &Path) -> Cluster {
        let binaries = Binaries::current();
        let args = ["key-value".to_owned()];
        let address = "127.0.0.1".parse().expect("an address");
        let store = Standin::start("store", &args, address, &binaries, folder).expect("a store");
        let ledger = Ledger::default();
        let operator = Client::new(store.address);
        let mut cluster = Cluster {
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
        cluster.configure().await;
        for _ in 0..ENDPOINTS {
            let name = cluster.next_name();
            let endpoint = Endpoint::start(&name, cluster.ledger.clone()).await;
            let proxy = Proxy::start(endpoint.address).await;
            cluster.endpoints.push((endpoint, proxy));
            cluster.register(cluster.endpoints.len() - 1, "ready").await;
        }
        let controls: Vec<SocketAddr> = (0..GATEWAYS).map(|_| cluster.reserve_port()).collect();
        for index in 0..GATEWAYS {
            let gateway = cluster.start_gateway(index, &controls, &binaries).await;
            cluster.gateways.push(gateway);
        }
        for index in 0..GATEWAYS {
            cluster.wait_until_ready(index).await;
        }
        cluster
    }

    async fn start_gateway(
        &mut self,
        index: usize,
        controls: &[SocketAddr],
        binaries: &Binaries,
    ) -> Gateway {
        let store_proxy = Proxy::start(self.store.address).await;
        let (clients, admin, control) = (self.reserve_port(), self.reserve_port(), controls[index]);
        let text = format!(
            "role = \"gateway\"\nvm = \"g{index}\"\ncentre = \"a\"\n\n[listen]\nclients = \"{clients}\"\n\
             admin = \"{admin}\"\ncontrol = \"{control}\"\n\n[peer]\nseeds = [\"{}\"]\n\n[platform]\nstore = \"{}\"\n\n[limit]\ndescriptors = 1000\n\
             stop_notice_ms = 300\nstop_grace_ms = 5000\n\n[retry]\nratio = 0.2\nslack = 60\nprocesses = 3\n",
            controls[0], store_proxy.address
        );
        let settings = self.folder.join(format!("g{index}.toml"));
        std::fs::write(&settings, text).expect("the settings");
        let process = start_process(index, &settings, binaries, &self.folder);
        Gateway { process, clients, settings, store_proxy, shown: 0 }
    }

    fn reserve_port(&mut self) -> SocketAddr {
        self.ports.reserve(Ipv4Addr::LOCALHOST.into()).expect("a free port")
    }

    /// Starts and ends the faults on schedule and probes the gateways meanwhile.
    async fn run_steps(&mut self, steps: Vec<Step>) {
        let start = Instant::now();
        let mut ends: Vec<(Duration, Fault)> = Vec::new();
        let mut steps = steps.into_iter().peekable();
        loop {
            let now = start.elapsed();
            let (due, later) = ends.into_iter().partition(|(end, _)| *end <= now);
            ends = later;
            for (_, fault) in due {
                self.end_fault(&fault).await;
            }
            while let Some(step) = steps.next_if(|step| step.at <= now) {
                if !step.fault.is_planned() {
                    let is_freeze = matches!(step.fault, Fault::FreezeGateway(_));
                    self.ledger.record_fault(step.duration + RESTART_TIME, is_freeze);
                }
                self.start_fault(&step.fault).await;
                ends.push((now + step.duration, step.fault));
            }
            if steps.peek().is_none() && ends.is_empty() {
                return;
            }
            self.probe().await;
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn start_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::KillGateway(index) => self.gateways[*index].process.kill(),
            Fault::FreezeGateway(index) => self.gateways[*index].process.freeze().unwrap_or(()),
            Fault::StopGateway(index) => self.gateways[*index].process.terminate().unwrap_or(()),
            Fault::StoreLink(index, mode) => self.gateways[*index].store_proxy.set_mode(*mode),
            Fault::StoreOutage => self.set_store_faults(r#"{"outage":true}"#).await,
            Fault::SlowStore => self.set_store_faults(r#"{"delay_ms":400}"#).await,
            Fault::LostStoreAnswers => self.set_store_faults(r#"{"lose_answers":5}"#).await,
            Fault::StoreCompaction => self.post("/standin/compact", "").await,
            Fault::EndpointLink(index, mode) => self.endpoints[*index].1.set_mode(*mode),
            Fault::Misbehaviour(index, behaviour) => {
                self.endpoints[*index].0.set_behaviour(*behaviour)
            }
            Fault::ReplaceEndpoint(index) => {
                let old = self.endpoints[*index].0.name();
                let new = self.next_name();
                self.endpoints[*index].0.rename(&new);
                sleep(Duration::from_millis(100)).await;
                self.deregister(&old).await;
                self.register(*index, "ready").await;
            }
            Fault::DrainEndpoint(index) => {
                self.register(*index, "draining").await;
                self.endpoints[*index].0.start_draining();
            }
            Fault::Configure => self.configure().await,
        }
    }

    pub async fn end_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::KillGateway(index) => self.restart(*index),
            Fault::FreezeGateway(index) => self.gateways[*index].process.resume().unwrap_or(()),
            Fault::StopGateway(index) => {
                let gateway = &mut self.gateways[*index];
                // Another fault may have killed, restarted or frozen the process meanwhile.
                while gateway.process.is_running() && gateway.process.terminate().is_ok() {
                    sleep(Duration::from_millis(20)).await;
                    let _ = gateway.process.resume();
                }
                self.restart(*index);
            }
            Fault::StoreLink(index, _) => self.gateways[*index].store_proxy.set_mode(Mode::Pass),
            Fault::StoreOutage | Fault::SlowStore | Fault::LostStoreAnswers => {
                self.set_store_faults("{}").await;
            }
            Fault::EndpointLink(index, _) => self.endpoints[*index].1.set_mode(Mode::Pass),
            Fault::Misbehaviour(index, _) => {
                self.endpoints[*index].0.set_behaviour(Behaviour::Normal)
            }
            Fault::DrainEndpoint(index) => {
                let old = self.endpoints[*index].0.name();
                self.deregister(&old).await;
                let new = self.next_name();
                self.endpoints[*index].0.rename(&new);
                self.register(*index, "ready").await;
            }
            Fault::StoreCompaction | Fault::ReplaceEndpoint(_) | Fault::Configure => {}
        }
    }

    async fn recover(&mut self) {
        sleep(RECOVERY_TIME).await;
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
        gateway.process =
            start_process(index, &gateway.settings, &Binaries::current(), &self.folder);
        gateway.shown = 0;
    }

    /// Checks that no gateway loses the route of a configuration that it has served.
    pub async fn probe(&mut self) {
        for gateway in &mut self.gateways {
            let pid = gateway.process.pid();
            let Some(known) = client::probe(gateway.clients, self.version).await else { continue };
            if known < gateway.shown && gateway.process.pid() == pid {
                let shown = gateway.shown;
                self.ledger
                    .record_violation(format!("a gateway went back from {shown} to {known}"));
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
        self.put(CONFIGURATION_KEY, &text).await;
    }

    async fn register(&self, index: usize, state: &str) {
        let (endpoint, proxy) = &self.endpoints[index];
        let text = format!(
            r#"{{"service":"s","address":"{}","zone":"a","slots":50,"state":"{state}","seq":1}}"#,
            proxy.address
        );
        self.put(&format!("servers/{}", endpoint.name()), &text).await;
    }

    async fn deregister(&self, name: &str) {
        self.commit(&Commit { removes: vec![format!("servers/{name}")], ..Commit::default() })
            .await;
    }

    async fn put(&self, key: &str, text: &str) {
        let put = Put { key: key.to_owned(), value: text.as_bytes().to_vec(), lease: None };
        self.commit(&Commit { puts: vec![put], ..Commit::default() }).await;
    }

    /// Retries a write until it succeeds; all writes here are idempotent. If they keep
    /// failing, the store's faults are ended, since later steps depend on the write.
    async fn commit(&self, commit: &Commit) {
        for _ in 0..MAX_WRITE_FAILURES {
            match self.operator.commit(commit).await {
                Ok(_) => return,
                Err(error) => log::debug!("retrying a write: {error}"),
            }
            sleep(Duration::from_millis(50)).await;
        }
        self.set_store_faults("{}").await;
        self.operator.commit(commit).await.expect("the store answers again");
    }

    async fn set_store_faults(&self, faults: &str) {
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
                self.ledger.record_violation(format!("gateway {index} is not ready after 10 s"));
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn next_name(&mut self) -> String {
        self.names += 1;
        format!("e{}", self.names)
    }
}

fn start_process(index: usize, settings: &Path, binaries: &Binaries, logs: &Path) -> Process {
    let program = binaries.program("lycheeknotd").expect("the daemon is built");
    let args = ["--settings".to_owned(), settings.display().to_string()];
    Process::start(&format!("g{index}"), &program, &args, logs).expect("the daemon starts")
}
