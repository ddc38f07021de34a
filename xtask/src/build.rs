//! Builds the programs that a task starts.

use fleet::Binaries;

use crate::cargo;
use crate::error::Error;

/// Builds all programs and tells where they are.
///
/// # Errors
///
/// [`Error::Step`] where they don't build.
pub fn run(release: bool) -> Result<Binaries, Error> {
    let mut args = vec!["build", "--workspace", "--bins", "--quiet"];
    if release {
        args.push("--release");
    }
    cargo::run(&args)?;
    Ok(Binaries::current().profile(if release { "release" } else { "debug" }))
}
