//! The folder of the built programs.

use std::env;
use std::path::Path;
use std::path::PathBuf;

use crate::Error;

/// Subfolder of the build folder in which cargo puts test programs.
const TEST_FOLDER: &str = "deps";

/// The folder that contains the built programs.
#[derive(Debug, Clone)]
pub struct Binaries {
    folder: PathBuf,
}

impl Binaries {
    /// Uses the programs in `folder`.
    pub fn new(folder: PathBuf) -> Binaries {
        Binaries { folder }
    }

    /// Uses the programs that were built together with the running one.
    pub fn current() -> Binaries {
        let own = env::current_exe().unwrap_or_default();
        let folder = own.parent().unwrap_or(Path::new("."));
        let folder = match folder.file_name() {
            Some(name) if name == TEST_FOLDER => folder.parent().unwrap_or(folder),
            _ => folder,
        };
        Binaries::new(folder.to_owned())
    }

    /// Returns the programs of another build profile, such as `release`.
    pub fn profile(&self, name: &str) -> Binaries {
        Binaries::new(self.folder.with_file_name(name))
    }

    /// Returns the path of a program.
    ///
    /// # Errors
    ///
    /// [`Error::Program`] if it has not been built.
    pub fn program(&self, name: &str) -> Result<PathBuf, Error> {
        let path = self.folder.join(name);
        if path.is_file() { Ok(path) } else { Err(Error::Program(path)) }
    }
}
