//! `lycheeknot settings`.

use std::fmt;
use std::path::Path;

use serde::Serialize;
use settings::File;

use crate::Error;
use crate::output::Format;

/// The result for a settings file without faults.
#[derive(Debug, Serialize)]
struct Checked {
    vm: String,
}

impl fmt::Display for Checked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no faults: settings of VM {}", self.vm)
    }
}

/// Checks the settings file of a daemon in any role and prints its VM.
pub fn check(file: &Path, format: Format) -> Result<(), Error> {
    let settings = File::load(file).map_err(|error| match error {
        settings::Error::Invalid(report) => Error::Faults(report.to_string()),
        other => Error::File(file.display().to_string(), other.to_string()),
    })?;
    let vm = match settings {
        File::Fleet(settings) => settings.vm,
        File::Gateway(settings) => settings.vm,
    };
    format.print(&Checked { vm });
    Ok(())
}
