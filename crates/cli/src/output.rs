//! Prints results as text or JSON.

use std::fmt::Display;
use std::io;
use std::io::Write;

use serde::Serialize;

use crate::Error;

/// The format in which results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Text for operators.
    Text,
    /// One JSON document for scripts.
    Json,
}

/// An error in JSON.
#[derive(Debug, Serialize)]
struct Failure {
    error: String,
    exit: u8,
}

impl Format {
    /// Prints a result.
    pub fn print<T: Display + Serialize>(self, value: &T) {
        match self {
            Format::Text => print_line(value.to_string().trim_end()),
            Format::Json => print_line(&json(value)),
        }
    }

    /// Prints an error, as text to standard error or as JSON to standard output.
    pub fn print_error(self, error: &Error) {
        let failure = Failure { error: error.to_string(), exit: error.exit_code() };
        match self {
            Format::Text => eprintln!("lycheeknot: {error}"),
            Format::Json => print_line(&json(&failure)),
        }
    }
}

/// Prints a line. Write errors are ignored, since a reader such as `head` may
/// close the pipe early.
fn print_line(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
