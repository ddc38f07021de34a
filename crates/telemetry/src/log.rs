//! Logging with one line for each record, as `key=value` pairs.

use std::fmt;
use std::fmt::Write as _;
use std::io;
use std::io::Write as _;
use std::thread;
use std::time::Duration;

use env_logger::Builder;
use env_logger::Env;
use env_logger::Target;
use log::Record;
use log::kv;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;

use crate::error::Error;
use crate::output::Output;
use crate::process::Process;

/// Environment variable with the log filter, in the syntax of `env_logger`.
pub const FILTER_VARIABLE: &str = "LYCHEEKNOT_LOG";

/// Log filter if the environment variable is not set.
const DEFAULT_FILTER: &str = "info,ntex_server=warn,ntex_rt=warn,ntex_service=warn,ntex=warn";

/// Time for the writer thread to write the last lines; a few lines take far less.
const WRITER_WAIT: Duration = Duration::from_millis(20);

/// Installs the logger of the process, which writes to standard output with a rate
/// limit and without blocking; see [`Output`].
///
/// # Errors
///
/// Returns [`Error::Logger`] if a logger is already installed, and
/// [`Error::LogThread`] if the writer thread can't be started.
pub fn init(process: Process) -> Result<(), Error> {
    let filter = Env::new().filter_or(FILTER_VARIABLE, DEFAULT_FILTER);
    let output = Output::start(io::stdout()).map_err(|_| Error::LogThread)?;
    Builder::new()
        .parse_env(filter)
        .target(Target::Pipe(Box::new(output)))
        .format(move |output, record| {
            let time = output.timestamp_millis();
            writeln!(output, "time={time} {}", Line { process: &process, record })
        })
        .try_init()
        .map_err(|_| Error::Logger)
}

/// Waits a short fixed time for the last lines to be written; to be called at the end of
/// `main`.
pub fn wait_for_writer() {
    thread::sleep(WRITER_WAIT);
}

/// A log record formatted as a line, without its time. It is always a single line:
/// values with line breaks, which may come from outside, are quoted and escaped.
#[derive(Debug)]
pub struct Line<'a> {
    /// The process that writes the record.
    pub process: &'a Process,
    /// The record.
    pub record: &'a Record<'a>,
}

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = self.record.level().as_str().to_ascii_lowercase();
        write_pair(f, "level", &level)?;
        f.write_char(' ')?;
        write_pair(f, "target", self.record.target())?;
        f.write_char(' ')?;
        write_pair(f, "vm", &self.process.vm)?;
        write!(f, " incarnation={}", self.process.incarnation)?;
        self.record.key_values().visit(&mut Visitor(f)).map_err(|_| fmt::Error)?;
        f.write_char(' ')?;
        write_pair(f, "message", &self.record.args().to_string())
    }
}

/// Writes the key-value pairs that are passed to the log macros.
struct Visitor<'a, 'f>(&'a mut fmt::Formatter<'f>);

impl<'kvs> VisitSource<'kvs> for Visitor<'_, '_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.write_char(' ')?;
        write_pair(self.0, key.as_str(), &value.to_string())?;
        Ok(())
    }
}

/// Writes `key=value`, with the value quoted if necessary.
fn write_pair(f: &mut fmt::Formatter<'_>, key: &str, value: &str) -> fmt::Result {
    if is_bare(value) { write!(f, "{key}={value}") } else { write!(f, "{key}={value:?}") }
}

/// Returns whether a value needs no quotes.
fn is_bare(value: &str) -> bool {
    !value.is_empty() && value.chars().all(|c| c.is_ascii_graphic() && !"\"=\\".contains(c))
}
