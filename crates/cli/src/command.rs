//! The commands, each in a module of its own.

mod confirm;
mod demand;
mod history;
mod intent;
mod plan;
mod report;
mod rollback;
mod settings;
mod status;

use platform::Client;

use crate::Error;
use crate::Profile;
use crate::flags::Command;
use crate::flags::IntentCommand;
use crate::flags::Lycheeknot;
use crate::flags::ReportCommand;
use crate::flags::SettingsCommand;
use crate::output::Format;

/// Runs one command and prints its result.
///
/// # Errors
///
/// Why it failed; nothing was printed then.
pub async fn run(flags: &Lycheeknot, format: Format) -> Result<(), Error> {
    match &flags.command {
        Command::Intent(intent) => match &intent.command {
            IntentCommand::Check(check) => intent::check(&check.file, format),
            IntentCommand::HashToken(_) => intent::hash_token(format),
        },
        Command::Settings(settings) => match &settings.command {
            SettingsCommand::Check(check) => settings::check(&check.file, format),
        },
        Command::Plan(plan) => {
            plan::run(&operation(flags)?, plan.file.as_deref(), plan.demand, format).await
        }
        Command::Confirm(confirm) => {
            confirm::run(&operation(flags)?, &confirm.plan, confirm.wait, format).await
        }
        Command::History(history) => history::run(&operation(flags)?, history.last, format).await,
        Command::Rollback(rollback) => {
            rollback::run(&operation(flags)?, rollback.revision, format).await
        }
        Command::Report(report) => match &report.command {
            None => report::burn(&operation(flags)?, None, format).await,
            Some(ReportCommand::Burn(burn)) => {
                report::burn(&operation(flags)?, burn.plot.as_deref(), format).await
            }
            Some(ReportCommand::Demand(_)) => demand::run(&operation(flags)?, format).await,
        },
        Command::Status(_) => status::run(&operation(flags)?, format).await,
    }
}

/// What commands on a running fleet need.
struct Operation {
    profile: Profile,
    store: Client,
}

fn operation(flags: &Lycheeknot) -> Result<Operation, Error> {
    let profile = Profile::load(flags.profile.as_deref())?;
    let address = Client::address(&profile.key_value)
        .map_err(|error| Error::Profile("key_value".to_owned(), error.to_string()))?;
    let store = Client::new(address);
    Ok(Operation { profile, store })
}
