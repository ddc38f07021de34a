//! Runs `cargo` for the tasks.

use std::process::Command;
use std::process::Output;

use crate::error::Error;

/// Program that is run.
const PROGRAM: &str = "cargo";

/// Seed of all property tests, so that every run gives the same result.
const PROPTEST_SEED: &str = "20231117";

/// Runs `cargo` with these arguments; its output goes to the terminal.
///
/// # Errors
///
/// [`Error::Start`] if it can't be run, [`Error::Command`] if it exits with a failure.
pub fn run(args: &[&str]) -> Result<(), Error> {
    println!("xtask: cargo {}", args.join(" "));
    let status = command(args).status().map_err(start_error)?;
    if status.success() { Ok(()) } else { Err(Error::Command(format!("cargo {}", args.join(" ")))) }
}

/// Runs `cargo` with these arguments and returns its output and exit status.
///
/// # Errors
///
/// [`Error::Start`] if it can't be run; a failure of cargo is in the exit status.
pub fn output(args: &[&str]) -> Result<Output, Error> {
    command(args).output().map_err(start_error)
}

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(args);
    command.env("RUSTDOCFLAGS", "--deny warnings");
    command.env("PROPTEST_RNG_SEED", PROPTEST_SEED);
    command
}

fn start_error(source: std::io::Error) -> Error {
    Error::Start { program: PROGRAM, source }
}
