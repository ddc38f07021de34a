//! The command line of `cargo xtask`.

use argh::FromArgs;

/// Development tasks of lycheeknot.
#[derive(Debug, FromArgs)]
pub struct Xtask {
    /// task to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Development tasks, a subcommand each.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Runs all checks.
    Ci(Ci),
    /// Starts a demo deployment.
    Demo(Demo),
    /// Runs a measurement.
    Measure(Measure),
}

/// Runs formatter, linter, tests, doc build and style checks.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ci")]
pub struct Ci {}

/// Starts a whole deployment and confirms its sample intent.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// run a sample session and exit; fails unless each answer is right
    #[argh(switch)]
    pub once: bool,

    /// start the deployment of Tallinn instead of Sofia's
    #[argh(switch)]
    pub tallinn: bool,

    /// build and run optimised programs
    #[argh(switch)]
    pub release: bool,
}

/// Runs a measurement and writes its page.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure")]
pub struct Measure {
    /// hop, frames, control, placement, reuse or ranks
    #[argh(positional)]
    pub name: String,

    /// print the page and write nothing
    #[argh(switch)]
    pub trial: bool,
}
