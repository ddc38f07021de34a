//! Program of `cargo xtask`: runs one development task.

use std::process::ExitCode;

use xtask::ci;
use xtask::demo;
use xtask::flags::Command;
use xtask::flags::Xtask;
use xtask::measure;

fn main() -> ExitCode {
    let flags: Xtask = argh::from_env();
    let outcome = match flags.command {
        Command::Ci(_) => ci::run(),
        Command::Demo(flags) => demo::run(&flags),
        Command::Measure(flags) => measure::run(&flags),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}
