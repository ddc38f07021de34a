//! Settings files of all roles.

use std::fs;
use std::path::Path;

use toml::de::DeTable;

use crate::error::Error;
use crate::fault::Fault;
use crate::gateway::Gateway;
use crate::report::Report;
use crate::section::Section;
use crate::settings::Settings;
use crate::settings::syntax_fault;

/// The settings of a daemon of any role.
#[derive(Clone, Debug)]
pub enum File {
    /// The settings of an entry or an agent.
    Fleet(Box<Settings>),
    /// The settings of a gateway.
    Gateway(Box<Gateway>),
}

/// Value of `role` in a gateway's file, which has its own set of keys.
const GATEWAY_ROLE: &str = "gateway";

impl File {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreadable`] if the file can't be read, and the errors of
    /// [`File::parse`].
    pub fn load(path: &Path) -> Result<File, Error> {
        let text = fs::read_to_string(path)
            .map_err(|source| Error::Unreadable { path: path.to_owned(), source })?;
        File::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] with all faults of the text.
    pub fn parse(text: &str) -> Result<File, Error> {
        let (document, errors) = DeTable::parse_recoverable(text);
        let root = Section { name: "", text, line: 1, table: Some(document.get_ref()) };
        let role = document.get_ref().get("role").and_then(|role| role.get_ref().as_str());
        if role != Some(GATEWAY_ROLE) {
            return Settings::parse(text).map(|settings| File::Fleet(Box::new(settings)));
        }
        let mut faults: Vec<Fault> = errors.iter().map(|error| syntax_fault(text, error)).collect();
        let gateway = Gateway::read(&root, &mut faults).filter(|_| faults.is_empty());
        gateway.map(Box::new).map(File::Gateway).ok_or_else(|| Error::Invalid(Report::new(faults)))
    }
}
