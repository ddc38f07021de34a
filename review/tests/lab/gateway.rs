//! The gateways: processes of the project, started as the deploy file says.

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use super::free_address;

/// The program of the deploy file's `run`.
const PROGRAM: &str = "target/release/lycheeknotd";

/// A gateway process. It is killed when dropped.
pub struct Gateway {
    pub clients: SocketAddr,
    pub admin: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Gateway {
    /// Starts a gateway with the settings of a small deployment.
    pub fn start(name: &str, zone: &str, store: SocketAddr) -> Gateway {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let [clients, admin, control] = [free_address(), free_address(), free_address()];
        let settings = folder.join(format!("{name}.conf"));
        let text = format!(
            "role = \"gateway\"\nvm = \"{name}\"\ncentre = \"{zone}\"\n\n\
             [listen]\nclients = \"{clients}\"\nadmin = \"{admin}\"\ncontrol = \"{control}\"\n\n\
             [peer]\nseeds = [\"{control}\"]\n\n\
             [platform]\nstore = \"{store}\"\nwrites_per_s = 400\n\n\
             [limit]\ncores = 0.19\ndescriptors = 4100\nstop_notice_ms = 2600\n\
             stop_grace_ms = 4800\n\n[retry]\nratio = 0.2\nslack = 58\nprocesses = 8\n"
        );
        std::fs::write(&settings, text).expect("settings");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        Gateway { clients, admin, settings, log, child }
    }

    /// Starts the process again after its end.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        self.child = spawn(&self.settings, &self.log);
    }

    /// Sends a signal such as `TERM`.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        Command::new("sh").args(["-c", &command]).status().expect("a signal");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns a line of the process's status in kilobytes, such as `VmHWM`.
    pub fn memory_kb(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(name)).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.admin) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    /// Waits until the process says that it is ready; returns whether it did within ten seconds.
    pub fn wait_until_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_file(&self.log);
        }
        let folder = self.settings.parent();
        folder.map(std::fs::remove_dir);
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("a log");
    let errors = log.try_clone().expect("a log");
    let mut command = Command::new(PROGRAM);
    command.arg("--settings").arg(settings).stdout(log).stderr(errors);
    command.env_clear().spawn().expect("the daemon")
}
