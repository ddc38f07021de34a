//! The gateways and stand-ins of a run.

use std::fs;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// The route and service of `rebuttal-outline` of the site `sofdebat`.
const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"outline","hostname":"a.example",
    "prefix":"/s/","service":"model","type":"stream","resumable":true,"attempts":2,
    "timeout_ms":8000,"goal_ms":400,"gap_aim_ms":300,"priority":0}],
    "services":[{"name":"model","max_conns":370,"health_path":"/healthz"}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
    "idle_timeout_ms":10000}}"#;

/// First port that is tried; runs at the same time begin 100 ports apart.
const FIRST_PORT: u16 = 20_000;

/// Longest time until a gateway is ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Processes that the run has started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A gateway process, by the command of the deploy file.
pub struct Gateway {
    process: Child,
    settings: PathBuf,
    pub clients: SocketAddr,
    admin: SocketAddr,
}

/// What a machine of gateways has.
pub struct Machine {
    pub cores: f64,
    pub descriptors: u32,
    pub memory_mb: u64,
}

/// The parts of a run.
pub struct Lab {
    pub machine: Machine,
    folder: PathBuf,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    address: SocketAddr,
    /// Events of a stream, and the pause before each.
    pub events: u64,
    pub gap: Duration,
    /// Whether the disruption is to happen.
    pub is_troubled: bool,
    pub gateways: Vec<Gateway>,
}

impl Gateway {
    /// Starts it, or starts it again at the same addresses.
    fn launch(settings: &Path) -> Result<Child, String> {
        let log =
            fs::File::options().create(true).append(true).open(settings.with_extension("log"));
        let log = log.map_err(|error| error.to_string())?;
        let other = log.try_clone().map_err(|error| error.to_string())?;
        let process = Command::new("target/release/lycheeknotd")
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(other))
            .spawn()
            .map_err(|error| format!("the daemon does not start: {error}"))?;
        STARTED.lock().unwrap().push(process.id());
        Ok(process)
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.process.id());
    }

    /// Kills the processes of several at the same moment.
    pub fn kill_all(gateways: &mut [Gateway], indices: &[usize]) {
        let ids = indices.iter().map(|index| gateways[*index].process.id().to_string());
        let _ = Command::new("kill").arg("-9").args(ids).status();
        indices.iter().for_each(|index| gateways[*index].kill());
    }

    /// Stops its process by SIGTERM, waits for its end and starts it again.
    pub fn restart_gently(&mut self) {
        let _ = Command::new("kill").arg(self.process.id().to_string()).status();
        let _ = self.process.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.process.id());
        self.restart();
    }

    /// Starts its process again.
    pub fn restart(&mut self) {
        self.process = Gateway::launch(&self.settings).unwrap();
    }

    /// Returns the most memory that its process has taken so far, in bytes.
    pub fn peak_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap_or_default();
        let kilobytes = line.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.admin) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let head = Message::head(&mut BufReader::new(stream));
        head.is_some_and(|head| head.first.contains(" 200"))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Lab {
    /// Starts the store with a configuration.
    pub fn start(folder: &Path, events: u64, gap: Duration) -> Lab {
        let address = free_address();
        let store = Store::start(address);
        store.write("op/config", CONFIGURATION);
        Lab {
            machine: Machine { cores: 0.19, descriptors: 4_100, memory_mb: 260 },
            folder: folder.to_owned(),
            record: Arc::new(Record { start: Instant::now(), lines: Mutex::default() }),
            store,
            address,
            events,
            gap,
            is_troubled: std::env::var("TROUBLE").map_or(true, |it| it != "0"),
            gateways: Vec::new(),
        }
    }

    /// Starts a gateway in each of these data centres, with the template's settings filled in as
    /// for the site, and waits until all are ready.
    pub fn start_gateways(&mut self, centres: &[&str]) -> Result<(), String> {
        let controls: Vec<SocketAddr> = centres.iter().map(|_| free_address()).collect();
        let Machine { cores, descriptors, memory_mb } = self.machine;
        let seeds: Vec<String> = controls.iter().take(3).map(|it| format!("\"{it}\"")).collect();
        for (index, (centre, control)) in centres.iter().zip(&controls).enumerate() {
            let (clients, admin, store) = (free_address(), free_address(), self.address);
            let text = format!(
                r#"role = "gateway"
vm = "edge-{centre}-{index}"
centre = "{centre}"

[listen]
clients = "{clients}"
admin = "{admin}"
control = "{control}"

[peer]
seeds = [{}]

[platform]
store = "{store}"
writes_per_s = 400

[limit]
cores = {cores}
descriptors = {descriptors}
memory_mb = {memory_mb}
stop_notice_ms = 2600
stop_grace_ms = 4800

[retry]
ratio = 0.2
slack = 58
processes = 8

[endpoints]
spread_stale_loads = true
share_failures = true
"#,
                seeds.join(", ")
            );
            let settings = self.folder.join(format!("gateway-{index}.toml"));
            fs::write(&settings, text).map_err(|error| error.to_string())?;
            let process = Gateway::launch(&settings)?;
            self.gateways.push(Gateway { process, settings, clients, admin });
        }
        let deadline = Instant::now() + START_TIMEOUT;
        while !self.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > deadline {
                return Err("a gateway does not get ready".to_owned());
            }
            sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Returns the addresses for clients.
    pub fn clients(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.clients).collect()
    }
}

/// Kills the processes that are left.
pub fn kill_started() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

/// Returns a loopback address that nobody uses, with a port below those that the system gives out.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = FIRST_PORT + (std::process::id() % 100 * 100) as u16;
    loop {
        let port = base + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
