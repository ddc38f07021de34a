//! The daemon `lycheeknotd`: one process of the fleet, which is an entry, an agent or a gateway.

mod admin;
mod controllers;
mod error;
mod flags;
mod gateway;
mod gauges;
mod memory;
mod process;
mod readiness;
mod role;
mod signals;

use std::process::ExitCode;

use settings::File;

use crate::error::Error;
use crate::flags::Flags;

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let outcome = run(&flags);
    telemetry::log::wait_for_writer();
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lycheeknotd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &Flags) -> Result<(), Error> {
    let file = File::load(&flags.settings).map_err(Error::Settings)?;
    if flags.check {
        println!("the settings have no faults");
        return Ok(());
    }
    match file {
        File::Fleet(settings) => process::run(*settings, flags.placement),
        File::Gateway(settings) => gateway::run(*settings),
    }
}
