//! A gateway process with stand-ins of the store and of endpoints.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use fleet::Binaries;
use fleet::Ports;
use fleet::Process;
use fleet::Standin;
use platform::Client;
use services::Store;
use services::store::Commit;
use services::store::Put;
use tokio::time::sleep;

use crate::behaviour::Behaviour;
use crate::crowd;
use crate::endpoint::Endpoint;
use crate::ledger::Ledger;

/// Longest body that the configuration allows, in bytes.
pub const MAX_BODY_BYTES: usize = 1_048_576;

/// Memory of the smallest machine. Resident memory has to stay below it.
const MEMORY_MB: u64 = 112;
const MEMORY_KB: u64 = MEMORY_MB * 1_024;

/// Descriptors of the gateway's machine. Its open ones have to stay below.
const DESCRIPTORS: usize = 1_000;

const ENDPOINTS: usize = 4;

/// Attempts of an ordinary client. Refusals are allowed, and clients send again after them.
const ATTEMPTS: usize = 30;

/// Pause between two attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(300);

/// A gateway, its store and its endpoints.
pub struct Gateway {
    pub clients: SocketAddr,
    process: Process,
    endpoints: Vec<Endpoint>,
    folder: PathBuf,
    _store: Standin,
}

impl Gateway {
    /// Starts a gateway and waits until it serves.
    pub async fn start(name: &str) -> Gateway {
        let folder = std::env::temp_dir().join(format!("hostile-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let binaries = Binaries::current();
        let args = ["key-value".to_owned()];
        let host = Ipv4Addr::LOCALHOST.into();
        let store = Standin::start("store", &args, host, &binaries, &folder).expect("a store");
        let operator = Client::new(store.address);
        put(&operator, "op/config", &configuration()).await;
        let mut endpoints = Vec::new();
        for index in 0..ENDPOINTS {
            let endpoint = Endpoint::start(&format!("e{index}"), Ledger::default()).await;
            let entry = format!(
                r#"{{"service":"s","address":"{}","zone":"a","slots":200,"state":"ready","seq":1}}"#,
                endpoint.address
            );
            put(&operator, &format!("servers/e{index}"), &entry).await;
            endpoints.push(endpoint);
        }
        let mut ports = Ports::default();
        let [clients, admin, control] =
            std::array::from_fn(|_| ports.reserve(host).expect("a free port"));
        let text = format!(
            "role = \"gateway\"\nvm = \"g0\"\ncentre = \"a\"\n\n[listen]\nclients = \"{clients}\"\n\
             admin = \"{admin}\"\ncontrol = \"{control}\"\n\n[peer]\nseeds = [\"{control}\"]\n\n\
             [platform]\nstore = \"{}\"\n\n[limit]\ndescriptors = {DESCRIPTORS}\n\
             memory_mb = {MEMORY_MB}\n\
             stop_notice_ms = 300\nstop_grace_ms = 5000\n\n\
             [retry]\nratio = 0.2\nslack = 60\nprocesses = 1\n",
            store.address
        );
        let settings = folder.join("g0.toml");
        std::fs::write(&settings, text).expect("the settings");
        let program = binaries.program("lycheeknotd").expect("the daemon is built");
        let args = ["--settings".to_owned(), settings.display().to_string()];
        let process = Process::start("g0", &program, &args, &folder).expect("the daemon starts");
        let gateway = Gateway { clients, process, endpoints, folder, _store: store };
        gateway.check_ordinary("after its start").await;
        gateway
    }

    /// Sets how all endpoints answer from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        for endpoint in &self.endpoints {
            endpoint.set_behaviour(behaviour);
        }
    }

    /// Checks that the process lives, that its memory and descriptors are below their bounds, and
    /// that an ordinary request is answered.
    pub async fn check(&mut self, when: &str) {
        assert!(self.process.is_running(), "{when}: the gateway has ended");
        let folder = PathBuf::from(format!("/proc/{}", self.process.pid()));
        let descriptors = std::fs::read_dir(folder.join("fd")).expect("descriptors").count();
        let status = std::fs::read_to_string(folder.join("status")).expect("a status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or_default();
        let peak_kb: u64 = line.trim_end_matches("kB").trim().parse().expect("a number");
        println!("{when}: {peak_kb} kB at most, {descriptors} descriptors");
        assert!(peak_kb < MEMORY_KB, "{when}: {peak_kb} kB resident, {MEMORY_KB} kB is the bound");
        assert!(descriptors < DESCRIPTORS, "{when}: {descriptors} descriptors are open");
        self.check_ordinary(when).await;
        assert!(self.process.is_running(), "{when}: the gateway has ended");
    }

    /// Checks that an ordinary request is answered, also if it has to be sent again.
    async fn check_ordinary(&self, when: &str) {
        for _ in 0..ATTEMPTS {
            if crowd::request(self.clients, crowd::Shape::Whole, 1_000).await == Some(200) {
                return;
            }
            sleep(ATTEMPT_PAUSE).await;
        }
        panic!("{when}: an ordinary request is not answered; log:{}", self.process.log_tail());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

async fn put(operator: &Client, key: &str, text: &str) {
    let put = Put { key: key.to_owned(), value: text.as_bytes().to_vec(), lease: None };
    let commit = Commit { puts: vec![put], ..Commit::default() };
    operator.commit(&commit).await.expect("the store answers");
}

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[
            {{"name":"file","hostname":"h.example","prefix":"/v1/","type":"mutating",
              "service":"s","timeout_ms":60000,"goal_ms":400}},
            {{"name":"once","hostname":"h.example","prefix":"/once/","type":"stream",
              "service":"s","timeout_ms":60000,"goal_ms":400}}],
            "services":[{{"name":"s"}}],
            "limits":{{"max_header_bytes":16384,"max_body_bytes":{MAX_BODY_BYTES},
              "header_timeout_ms":3000,"idle_timeout_ms":15000}},
            "tenants":[{{"name":"club","api_keys":["k1"]}}]}}"#
    )
}
