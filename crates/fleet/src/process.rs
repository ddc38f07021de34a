//! A process of a deployment.

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

/// Prefix of the line that a process prints once it listens.
const LISTENING: &str = "listening ";
/// Time for a process to listen after its start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of log lines shown in an error.
const LOG_TAIL_LINES: usize = 10;

/// Handle of a process. Dropping the handle kills the process, so that a test
/// that panics leaves none running.
#[derive(Debug)]
pub struct Process {
    name: String,
    log: PathBuf,
    child: Child,
    lines: Receiver<String>,
}

impl Process {
    /// Starts a program that logs to `NAME.log` in the folder `logs`. It gets a
    /// process group of its own, so that Ctrl-C at the terminal doesn't stop all
    /// processes at once and out of order.
    ///
    /// # Errors
    ///
    /// [`Error::Spawn`] if it can't be started, [`Error::File`] if the log can't be opened.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        logs: &Path,
    ) -> Result<Process, Error> {
        let log = logs.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log);
        let file_error = |source| Error::File { path: log.clone(), source };
        let file = file.map_err(file_error)?;
        let stdout_file = file.try_clone().map_err(file_error)?;
        let spawn_error = |source| Error::Spawn { name: name.to_owned(), source };
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .process_group(0)
            .spawn()
            .map_err(spawn_error)?;
        let (sender, lines) = mpsc::channel();
        if let Some(stdout) = child.stdout.take() {
            thread::spawn(move || forward_lines(stdout, &sender, stdout_file));
        }
        Ok(Process { name: name.to_owned(), log, child, lines })
    }

    /// Waits until the process prints the line that starts with `listening` and
    /// returns the rest of that line.
    ///
    /// # Errors
    ///
    /// [`Error::NotListening`] if the process ends or 20 seconds pass before.
    pub fn wait_until_listening(&self) -> Result<String, Error> {
        let deadline = Instant::now() + START_TIMEOUT;
        while let Ok(line) = self.lines.recv_timeout(deadline - Instant::now().min(deadline)) {
            if let Some(rest) = line.strip_prefix(LISTENING) {
                return Ok(rest.to_owned());
            }
        }
        Err(Error::NotListening { name: self.name.clone(), log: self.log_tail() })
    }

    /// Returns the name under which it was started.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the last lines of its log, each after a line break.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let tail = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
        tail.iter().map(|line| format!("\n  {line}")).collect()
    }

    /// Kills it with `SIGKILL`, as a failure of its VM would, and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends it with `SIGSTOP` until [`Process::resume`]; its connections stay open.
    ///
    /// # Errors
    ///
    /// [`Error::Signal`] if it has ended.
    pub fn freeze(&self) -> Result<(), Error> {
        self.signal(Signal::STOP)
    }

    /// Resumes it after [`Process::freeze`].
    ///
    /// # Errors
    ///
    /// [`Error::Signal`] if it has ended.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful stop with `SIGTERM` and returns at once.
    ///
    /// # Errors
    ///
    /// [`Error::Signal`] if it has ended.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(Signal::TERM)
    }

    /// Waits at most `time` until it has ended; returns whether it has.
    pub fn wait(&mut self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        while self.is_running() {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    fn signal(&self, signal: Signal) -> Result<(), Error> {
        let pid = self.pid();
        let not_found = || io::Error::from(io::ErrorKind::NotFound);
        let target = i32::try_from(pid).ok().and_then(Pid::from_raw);
        let target = target.ok_or_else(|| Error::Signal { pid, source: not_found() })?;
        kill_process(target, signal).map_err(|source| Error::Signal { pid, source: source.into() })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends the lines that contain the listening address to `sender` and logs the others.
fn forward_lines(stdout: ChildStdout, sender: &Sender<String>, mut log: File) {
    for line in BufReader::new(stdout).lines() {
        let Ok(line) = line else { return };
        if line.starts_with(LISTENING) {
            // Fails if the handle was dropped, so that nobody waits for the line.
            let _ = sender.send(line);
        } else if let Err(error) = writeln!(log, "{line}") {
            eprintln!("a log line can't be written: {error}");
        }
    }
}
