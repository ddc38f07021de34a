//! The command-line arguments of `lycheeknot`.

use std::path::PathBuf;

use argh::FromArgs;

/// Operates a lycheeknot fleet by intents and confirmed plans.
#[derive(Debug, FromArgs)]
pub struct Lycheeknot {
    /// profile of the fleet to operate (default: $LYCHEEKNOT_PROFILE, else lycheeknot.toml)
    #[argh(option, short = 'p')]
    pub profile: Option<PathBuf>,

    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,

    #[argh(subcommand)]
    /// what to do
    pub command: Command,
}

/// The command to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Works on intent files.
    Intent(Intent),
    /// Computes a plan.
    Plan(Plan),
    /// Confirms a plan.
    Confirm(Confirm),
    /// Shows past confirms.
    History(History),
    /// Plans to go back.
    Rollback(Rollback),
    /// Shows the fleet.
    Status(Status),
    /// Shows service-level burn.
    Report(Report),
    /// Checks settings files.
    Settings(Settings),
}

/// Checks intents and hashes tokens for them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "intent")]
pub struct Intent {
    #[argh(subcommand)]
    /// what to do with intents
    pub command: IntentCommand,
}

/// The command to run on intents.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum IntentCommand {
    /// Checks a file.
    Check(IntentCheck),
    /// Hashes a token.
    HashToken(HashToken),
}

/// Checks an intent file and reports all faults at once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct IntentCheck {
    /// the intent, a TOML file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Reads a token from standard input and prints its hash for an intent.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-token")]
pub struct HashToken {}

/// Computes the plan for an intent and keeps it for confirming.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// the intent, a TOML file; with --demand it may be left out to keep the one in force
    #[argh(positional)]
    pub file: Option<PathBuf>,

    /// assign engines by the requests of the last hour
    #[argh(switch)]
    pub demand: bool,
}

/// Puts a plan in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "confirm")]
pub struct Confirm {
    /// the plan's name, as `plan` printed it
    #[argh(positional)]
    pub plan: String,

    /// seconds to wait until the plan is in force at every process
    #[argh(option)]
    pub wait: Option<u64>,
}

/// Shows who confirmed what and when, the newest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {
    /// number of confirms to show (default: 20)
    #[argh(option, default = "20")]
    pub last: usize,
}

/// Computes a plan that restores the intent of an earlier revision, and keeps it for confirming.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct Rollback {
    /// the revision, as `history` shows it
    #[argh(positional)]
    pub revision: u64,
}

/// Shows every process and the revision in force there.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Reports on service levels (`burn` by default).
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    #[argh(subcommand)]
    /// what to report on
    pub command: Option<ReportCommand>,
}

/// The report to print.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ReportCommand {
    /// Reports the error-budget burn.
    Burn(ReportBurn),
    /// Reports the demand for models.
    Demand(ReportDemand),
}

/// Shows the requests for each model and the engines that it would get by that demand.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demand")]
pub struct ReportDemand {}

/// Shows the achievement and the error-budget burn of each rank, service and account.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct ReportBurn {
    /// file to write an SVG chart of the last hour to
    #[argh(option)]
    pub plot: Option<PathBuf>,
}

/// Checks the settings of daemons.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct Settings {
    #[argh(subcommand)]
    /// what to do with settings
    pub command: SettingsCommand,
}

/// The command to run on settings.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum SettingsCommand {
    /// Checks a file.
    Check(SettingsCheck),
}

/// Checks a daemon's settings file and reports all faults at once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct SettingsCheck {
    /// the settings, a TOML file
    #[argh(positional)]
    pub file: PathBuf,
}
