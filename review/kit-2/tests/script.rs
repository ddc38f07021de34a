//! Starts gateways as separate processes, and records what is seen.

use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::get;
use crate::store::Door;
use crate::store::Store;

/// Time limit of a whole script, after which it ends as one that could not run.
const SCRIPT_TIMEOUT: Duration = Duration::from_secs(115);

/// What was sent, answered and run, for `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    /// Returns the seconds since the start of the script.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: impl Into<String>) {
        let line = (self.now(), text.into());
        self.lines.lock().unwrap().push(line);
    }

    fn write(&self, path: &PathBuf) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:8.3} {line}");
        }
        let _ = fs::write(path, text);
    }
}

/// Returns a free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A gateway, which is killed when the value is dropped.
pub struct Gateway {
    pub name: String,
    pub clients: SocketAddr,
    pub admin: SocketAddr,
    pub door: Door,
    pub child: Child,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What all scripts need.
pub struct Script {
    pub record: Record,
    pub store: Store,
    /// Whether the disruption takes place.
    pub trouble: bool,
    folder: PathBuf,
    temporary: PathBuf,
}

impl Script {
    pub fn new(folder: &str) -> Script {
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&temporary).unwrap();
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let script = Script {
            record: Record::new(),
            store: Store::default(),
            trouble,
            folder: PathBuf::from(folder),
            temporary,
        };
        script.record.add(format!("trouble: {trouble}"));
        script
    }

    /// Starts gateways with the settings of the template, and waits until all are ready.
    pub fn gateways(&self, places: &[(&str, &str)]) -> Vec<Gateway> {
        let controls: Vec<SocketAddr> = places.iter().map(|_| free_address()).collect();
        let started = places.iter().zip(&controls);
        let gateways: Vec<Gateway> = started
            .map(|((name, zone), control)| self.start(name, zone, *control, &controls))
            .collect();
        let end = Instant::now() + Duration::from_secs(15);
        for gateway in &gateways {
            while get(gateway.admin, "/readyz") != Some(200) {
                if Instant::now() > end {
                    self.give_up(format!("{} does not get ready", gateway.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        gateways
    }

    pub fn start(
        &self,
        name: &str,
        zone: &str,
        control: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Gateway {
        let door = self.store.door();
        let (clients, admin) = (free_address(), free_address());
        let seeds: Vec<String> = seeds.iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            "role = \"gateway\"\nvm = \"{name}\"\ncentre = \"{zone}\"\n\n[listen]\n\
            clients = \"{clients}\"\nadmin = \"{admin}\"\ncontrol = \"{control}\"\n\n[peer]\n\
            seeds = [{}]\n\n[platform]\nstore = \"{}\"\nwrites_per_s = 400\n\n[limit]\n\
            cores = 0.19\ndescriptors = 4100\nmemory_mb = 260\nstop_notice_ms = 2600\n\
            stop_grace_ms = 4800\n\n[retry]\nratio = 0.2\nslack = 58\nprocesses = 8\n\n\
            [endpoints]\nspread_stale_loads = true\nshare_failures = true\n",
            seeds.join(","),
            door.address
        );
        let path = self.temporary.join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap();
        let log = fs::File::create(self.temporary.join(format!("{name}.log"))).unwrap();
        let errors = log.try_clone().unwrap();
        let child = Command::new("target/release/lycheeknotd")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| self.give_up(format!("no daemon: {error}")));
        self.record.add(format!("gateway {name} starts in {zone}, clients at {clients}"));
        Gateway { name: name.to_owned(), clients, admin, door, child }
    }

    /// Ends a script that could not run.
    pub fn give_up(&self, reason: String) -> ! {
        eprintln!("could not run: {reason}");
        self.record.add(format!("could not run: {reason}"));
        self.finish(2)
    }

    /// Writes the record and ends the script. The gateways have to be dropped before.
    pub fn finish(&self, code: i32) -> ! {
        self.record.write(&self.folder.join("record.txt"));
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.temporary);
        } else {
            eprintln!("logs: {}", self.temporary.display());
        }
        std::process::exit(code)
    }

    /// Kills all processes if the script takes too long.
    pub fn limit_time(&self, gateways: &[Gateway]) {
        let pids: Vec<u32> = gateways.iter().map(|gateway| gateway.child.id()).collect();
        thread::spawn(move || {
            thread::sleep(SCRIPT_TIMEOUT);
            for pid in pids {
                let _ = Command::new("kill").arg("-9").arg(pid.to_string()).status();
            }
            eprintln!("could not run: it took too long");
            std::process::exit(2);
        });
    }
}

/// Returns the most numbers of a sorted list within a span.
pub fn most_within(times: &[f64], span: f64) -> (usize, f64) {
    let mut most = (0, 0.0);
    for (index, begin) in times.iter().enumerate() {
        let count = times[index..].iter().take_while(|time| **time < begin + span).count();
        if count > most.0 {
            most = (count, *begin);
        }
    }
    most
}
