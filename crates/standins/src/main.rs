//! The binary `standin`, which runs one stand-in until SIGTERM or SIGINT.

mod flags;

use std::error::Error;
use std::process::ExitCode;

use standins::engine;
use standins::key_value;
use standins::registry;
use standins::server::Server;
use standins::vms;
use standins::weights;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::flags::Command;
use crate::flags::Flags;

fn main() -> ExitCode {
    env_logger::init();
    let flags: Flags = argh::from_env();
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: Flags) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let _entered = runtime.enter();
    let mut terminated = signal(SignalKind::terminate())?;
    let mut interrupted = signal(SignalKind::interrupt())?;
    let server = start(flags)?;
    println!("listening on {}", server.addr());
    runtime.block_on(async {
        tokio::select! {
            _ = terminated.recv() => {}
            _ = interrupted.recv() => {}
        }
    });
    server.stop();
    Ok(())
}

fn start(flags: Flags) -> Result<Server, Box<dyn Error>> {
    let server = match flags.command {
        Command::KeyValue(flags) => key_value::start(flags.listen, flags.options())?,
        Command::Vms(flags) => vms::start(flags.listen, flags.options()?)?,
        Command::Engine(flags) => engine::start(flags.listen, flags.options())?,
        Command::Registry(flags) => registry::start(flags.listen, flags.options())?,
        Command::Weights(flags) => weights::start(flags.listen, flags.options())?,
    };
    Ok(server)
}
