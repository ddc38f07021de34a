//! Error of a development task.

use std::io;
use std::path::PathBuf;

use displaydoc::Display;

/// Error of a development task.
#[derive(Debug, Display)]
pub enum Error {
    /// `{program}` can't be run ({source}); check that it is installed
    Start {
        /// Program that was to be run.
        program: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// `{0}` failed; fix the errors printed above
    Command(String),
    /// {path:?} can't be read: {source}
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// {0} style findings; fix the lines printed above
    Style(usize),
    /// KNOWN-RED.txt, line {0}: write `red: <test> | <command and seed> | <seen> | <issue>`
    RedLine(usize),
    /// KNOWN-RED.txt names `{0}`, but no test has this name; remove the entry
    RedStale(String),
    /// KNOWN-RED.txt names `{0}`, but {1} tests have this name; give the red one a name of its own
    RedAmbiguous(String, usize),
    /// {0}
    Fleet(fleet::Error),
    /// {step}: {actual}
    Unexpected {
        /// Step of the sample session or of the measurement.
        step: &'static str,
        /// What was received instead of the expected answer.
        actual: String,
    },
    /// no measurement is named `{0}`; use one of: {1}
    UnknownMeasurement(String, String),
    /// {path:?} can't be written: {source}
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// signals can't be received: {0}
    Signals(io::Error),
}

impl std::error::Error for Error {}

impl From<fleet::Error> for Error {
    fn from(error: fleet::Error) -> Error {
        Error::Fleet(error)
    }
}
