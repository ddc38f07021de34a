//! Errors of reading a settings file.

use std::io;
use std::path::PathBuf;

use displaydoc::Display;

use crate::report::Report;

/// Error of reading a settings file.
#[derive(Debug, Display)]
pub enum Error {
    /// the settings file {path:?} can't be read ({source}); check that it exists and is UTF-8
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// the settings have faults; mend these lines:{0}
    Invalid(Report),
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Error::Unreadable { source, .. } => Some(source),
            Error::Invalid(_) => None,
        }
    }
}
