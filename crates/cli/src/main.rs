//! The operators' command line `lycheeknot`.

use std::env;
use std::process::ExitCode;

use argh::FromArgs;
use cli::command;
use cli::error::exit;
use cli::flags::Lycheeknot;
use cli::output::Format;
use ntex::rt::System;

/// Name of the program.
const NAME: &str = "lycheeknot";

fn main() -> ExitCode {
    let flags = match parse_flags() {
        Ok(flags) => flags,
        Err(code) => return code,
    };
    let format = if flags.json { Format::Json } else { Format::Text };
    let system = System::new(NAME, ntex::rt::DefaultRuntime);
    match system.block_on(async move { command::run(&flags, format).await }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            format.print_error(&error);
            ExitCode::from(error.exit_code())
        }
    }
}

/// Parses the arguments, or returns the exit code after printing help or a usage error.
///
/// `argh::from_env` would exit with the same code for wrong usage as for a failed command.
fn parse_flags() -> Result<Lycheeknot, ExitCode> {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Lycheeknot::from_args(&[NAME], &args).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}\nRun {NAME} --help for more information.", early.output);
            ExitCode::from(exit::USAGE)
        }
    })
}
