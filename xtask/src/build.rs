//! Builds the programs that the demo and the measurements start.

use fleet::Binaries;

use crate::cargo;
use crate::error::Error;

/// Builds all programs of the workspace and returns the folder they are in.
///
/// # Errors
///
/// [`Error::Start`] if cargo can't be run, [`Error::Command`] if the build fails.
pub fn run(release: bool) -> Result<Binaries, Error> {
    let mut args = vec!["build", "--workspace", "--bins", "--quiet"];
    if release {
        args.push("--release");
    }
    cargo::run(&args)?;
    Ok(Binaries::current().profile(if release { "release" } else { "debug" }))
}
