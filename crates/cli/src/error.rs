//! Errors of commands and their exit codes.

use displaydoc::Display;

/// Exit codes, listed in `docs/CLI.md`.
pub mod exit {
    /// The command failed.
    pub const FAILED: u8 = 1;
    /// The arguments are wrong.
    pub const USAGE: u8 = 2;
    /// The plan was not put in force because another one was confirmed first.
    pub const SUPERSEDED: u8 = 3;
    /// It is unknown whether the plan was put in force.
    pub const UNKNOWN: u8 = 4;
    /// The intent or settings file has faults.
    pub const FAULTS: u8 = 5;
    /// The plan is confirmed but not yet in force everywhere.
    pub const LAGGING: u8 = 6;
}

/// The reason why a command failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// {0} can't be read ({1}): check the path and its permissions
    File(String, String),
    /// the profile {0} can't be read ({1}): name one with -p or in LYCHEEKNOT_PROFILE; docs/CLI.md has its keys
    NoProfile(String, String),
    /// the profile {0} has a fault ({1}): see docs/CLI.md for its keys
    Profile(String, String),
    /// {0}
    Faults(String),
    /// {0}
    Store(services::store::Error),
    /// no process of the fleet could be asked ({0}): check control in the profile, or whether the daemons run
    Fleet(String),
    /// no plan is named {0}: run `lycheeknot plan` again, as plans are kept for a day
    NoPlan(String),
    /// the plan would be {0} bytes, more than the {1} that the key-value service takes as one value: declare fewer services or accounts, or shorter lists of accounts
    PlanTooLarge(usize, usize),
    /// the document of revision {0} isn't kept: `lycheeknot history` shows the revisions; the last {1} can be rolled back to
    NoDocument(u64, u64),
    /// nothing says what to plan: name an intent file, or give --demand to share engines out anew for the intent in force
    NoIntent,
    /// no entry counted a request within the last hour, so there is no demand to follow: plan without --demand
    NoDemand,
    /// the file {0} can't be written ({1}): check the path and its permissions
    Write(String, String),
    /// not applied: revision {0} was confirmed by {1} since this plan was computed ({2}); run `lycheeknot plan` again on top of it
    Superseded(u64, String, String),
    /// unknown whether applied: revision {1} is in force, and the history no longer has the record of revision {0}; look at `lycheeknot history` and plan again
    RecordExpired(u64, u64),
    /// unknown whether applied ({0}): run the same `lycheeknot confirm` again, which is harmless
    Unknown(String),
    /// revision {0} is confirmed but {1} processes do not have it yet: run `lycheeknot status` to see which
    Lagging(u64, usize),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the command's exit code, one of [`exit`].
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Superseded(..) => exit::SUPERSEDED,
            Error::Unknown(_) | Error::RecordExpired(..) => exit::UNKNOWN,
            Error::NoIntent => exit::USAGE,
            Error::Faults(_) => exit::FAULTS,
            Error::Lagging(..) => exit::LAGGING,
            _ => exit::FAILED,
        }
    }
}

impl From<services::store::Error> for Error {
    fn from(error: services::store::Error) -> Error {
        Error::Store(error)
    }
}
