//! The operators' command line, which computes plans from intents, confirms them and
//! reports on the fleet.

pub mod command;
pub mod confirm;
pub mod error;
pub mod flags;
pub mod fleet;
pub mod output;
pub mod profile;

pub use error::Error;
pub use profile::Profile;
