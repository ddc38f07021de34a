//! One log record a line, as `key=value` pairs.

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

/// Environment variable with the filter, in the syntax of `env_logger`.
pub const FILTER_VARIABLE: &str = "LYCHEEKNOT_LOG";

/// Filter where the variable is not set.
const FILTER_DEFAULT: &str = "info,ntex_server=warn,ntex_rt=warn,ntex_service=warn,ntex=warn";

/// The writing thread takes a few lines in far less than this.
const FINISH_TIME: Duration = Duration::from_millis(20);

/// Sends the records of the whole process to standard output, bounded and without
/// blocking; see [`Output`].
///
/// # Errors
///
/// [`Error::Logger`] where a logger is already installed.
pub fn init(process: Process) -> Result<(), Error> {
    let filter = Env::new().filter_or(FILTER_VARIABLE, FILTER_DEFAULT);
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

/// Gives the last lines time to be written; called last in `main`.
pub fn finish() {
    thread::sleep(FINISH_TIME);
}

/// One record without its time. It is always a single line: values from
/// outside may hold line breaks, and are quoted then.
#[derive(Debug)]
pub struct Line<'a> {
    /// Who writes.
    pub process: &'a Process,
    /// What is written.
    pub record: &'a Record<'a>,
}

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = self.record.level().as_str().to_ascii_lowercase();
        pair(f, "level", &level)?;
        f.write_char(' ')?;
        pair(f, "target", self.record.target())?;
        f.write_char(' ')?;
        pair(f, "vm", &self.process.vm)?;
        write!(f, " incarnation={}", self.process.incarnation)?;
        self.record.key_values().visit(&mut Visitor(f)).map_err(|_| fmt::Error)?;
        f.write_char(' ')?;
        pair(f, "message", &self.record.args().to_string())
    }
}

/// Writes the pairs that a caller of the log macros adds.
struct Visitor<'a, 'f>(&'a mut fmt::Formatter<'f>);

impl<'kvs> VisitSource<'kvs> for Visitor<'_, '_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.write_char(' ')?;
        pair(self.0, key.as_str(), &value.to_string())?;
        Ok(())
    }
}

fn pair(f: &mut fmt::Formatter<'_>, key: &str, value: &str) -> fmt::Result {
    if is_bare(value) { write!(f, "{key}={value}") } else { write!(f, "{key}={value:?}") }
}

/// Whether a value can stand without quotes.
fn is_bare(value: &str) -> bool {
    !value.is_empty() && value.chars().all(|c| c.is_ascii_graphic() && !"\"=\\".contains(c))
}
