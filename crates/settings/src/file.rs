//! A settings file of any role.

use std::fs;
use std::path::Path;

use toml::de::DeTable;

use crate::error::Error;
use crate::fault::Fault;
use crate::gateway::Gateway;
use crate::report::Report;
use crate::section::Section;
use crate::settings::Settings;
use crate::settings::syntax;

/// The settings of a daemon of any role.
#[derive(Clone, Debug)]
pub enum File {
    /// An entry or an agent.
    Fleet(Box<Settings>),
    /// A gateway.
    Gateway(Box<Gateway>),
}

/// The role whose settings have a form of their own.
const GATEWAY: &str = "gateway";

impl File {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] where the file can't be read, else as [`File::parse`].
    pub fn load(path: &Path) -> Result<File, Error> {
        let text = fs::read_to_string(path)
            .map_err(|source| Error::Unreadable { path: path.to_owned(), source })?;
        File::parse(&text)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with all faults of the text.
    pub fn parse(text: &str) -> Result<File, Error> {
        let (document, errors) = DeTable::parse_recoverable(text);
        let root = Section { name: "", text, line: 1, table: Some(document.get_ref()) };
        let role = document.get_ref().get("role").and_then(|role| role.get_ref().as_str());
        if role != Some(GATEWAY) {
            return Settings::parse(text).map(|settings| File::Fleet(Box::new(settings)));
        }
        let mut faults: Vec<Fault> = errors.iter().map(|error| syntax(text, error)).collect();
        let gateway = Gateway::read(&root, &mut faults).filter(|_| faults.is_empty());
        gateway.map(Box::new).map(File::Gateway).ok_or_else(|| Error::Invalid(Report::new(faults)))
    }
}
