//! One process of a deployment.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use crate::Error;

/// Start of the line that a process prints once it listens.
const LISTENING: &str = "listening ";
/// Time within which a process has to listen.
const START_TIME: Duration = Duration::from_secs(20);
/// Time between two looks at whether a process has ended.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Lines of a log that an error shows.
const LOG_LINES: usize = 10;

/// A process that ends at the latest when this value is dropped, so that a
/// test that panics leaves none behind.
#[derive(Debug)]
pub struct Process {
    name: String,
    log: PathBuf,
    child: Child,
    lines: Receiver<String>,
}

impl Process {
    /// Starts a program whose log goes to `NAME.log` in a folder. It has a
    /// process group of its own, so that Ctrl-C at the terminal does not stop
    /// it in a disorderly way.
    ///
    /// # Errors
    ///
    /// [`Error::Spawn`] and [`Error::File`].
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        logs: &Path,
    ) -> Result<Process, Error> {
        let log = logs.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log);
        let fault = |source| Error::File { path: log.clone(), source };
        let file = file.map_err(fault)?;
        let lines_file = file.try_clone().map_err(fault)?;
        let spawn = |source| Error::Spawn { name: name.to_owned(), source };
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .process_group(0)
            .spawn()
            .map_err(spawn)?;
        let (sender, lines) = mpsc::channel();
        if let Some(stdout) = child.stdout.take() {
            thread::spawn(move || read(stdout, &sender, lines_file));
        }
        Ok(Process { name: name.to_owned(), log, child, lines })
    }

    /// Waits for the line that begins with `listening` and gives the rest of it.
    ///
    /// # Errors
    ///
    /// [`Error::Silent`] where the line doesn't come.
    pub fn listening(&self) -> Result<String, Error> {
        let deadline = Instant::now() + START_TIME;
        while let Ok(line) = self.lines.recv_timeout(deadline - Instant::now().min(deadline)) {
            if let Some(rest) = line.strip_prefix(LISTENING) {
                return Ok(rest.to_owned());
            }
        }
        Err(Error::Silent { name: self.name.clone(), log: self.log_tail() })
    }

    /// The name that it was started with.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// The last lines that it logged.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let tail = &lines[lines.len().saturating_sub(LOG_LINES)..];
        tail.iter().map(|line| format!("\n  {line}")).collect()
    }

    /// Ends it at once, as the loss of its VM would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops its threads until [`Process::thaw`]; connections stay open.
    ///
    /// # Errors
    ///
    /// [`Error::Signal`] where it has ended.
    pub fn freeze(&self) -> Result<(), Error> {
        self.signal(Signal::STOP)
    }

    /// Lets it run on after [`Process::freeze`].
    ///
    /// # Errors
    ///
    /// [`Error::Signal`] where it has ended.
    pub fn thaw(&self) -> Result<(), Error> {
        self.signal(Signal::CONT)
    }

    /// Asks it to stop gracefully and returns at once.
    ///
    /// # Errors
    ///
    /// [`Error::Signal`] where it has ended.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(Signal::TERM)
    }

    /// Waits until it has ended; `false` if the time passes before.
    pub fn wait(&mut self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        while self.is_running() {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(LOOK_INTERVAL);
        }
        true
    }

    fn signal(&self, signal: Signal) -> Result<(), Error> {
        let pid = self.pid();
        let gone = || io::Error::from(io::ErrorKind::NotFound);
        let target = i32::try_from(pid).ok().and_then(Pid::from_raw);
        let target = target.ok_or_else(|| Error::Signal { pid, source: gone() })?;
        kill_process(target, signal).map_err(|source| Error::Signal { pid, source: source.into() })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Passes on the line that tells addresses and logs the others.
fn read(stdout: ChildStdout, sender: &Sender<String>, mut log: File) {
    for line in BufReader::new(stdout).lines() {
        let Ok(line) = line else { return };
        if line.starts_with(LISTENING) {
            // Nobody may wait for it any more.
            let _ = sender.send(line);
        } else if let Err(error) = writeln!(log, "{line}") {
            eprintln!("a log line can't be written: {error}");
        }
    }
}
