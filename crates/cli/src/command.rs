//! The commands of `lycheeknot`, each in a module of its own.

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
/// The reason why the command failed; no result was printed then.
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
            plan::run(&context(flags)?, plan.file.as_deref(), plan.demand, format).await
        }
        Command::Confirm(confirm) => {
            confirm::run(&context(flags)?, &confirm.plan, confirm.wait, format).await
        }
        Command::History(history) => history::run(&context(flags)?, history.last, format).await,
        Command::Rollback(rollback) => {
            rollback::run(&context(flags)?, rollback.revision, format).await
        }
        Command::Report(report) => match &report.command {
            None => report::burn(&context(flags)?, None, format).await,
            Some(ReportCommand::Burn(burn)) => {
                report::burn(&context(flags)?, burn.plot.as_deref(), format).await
            }
            Some(ReportCommand::Demand(_)) => demand::run(&context(flags)?, format).await,
        },
        Command::Status(_) => status::run(&context(flags)?, format).await,
    }
}

/// The profile of a running fleet and a client of its key-value service.
struct Context {
    profile: Profile,
    store: Client,
}

fn context(flags: &Lycheeknot) -> Result<Context, Error> {
    let profile = Profile::load(flags.profile.as_deref())?;
    let address = Client::parse_address(&profile.key_value)
        .map_err(|error| Error::Profile("key_value".to_owned(), error.to_string()))?;
    let store = Client::new(address);
    Ok(Context { profile, store })
}
