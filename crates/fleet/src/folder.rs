//! A temporary folder for the files of one deployment.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::Error;

/// Number of folders made by this process, which makes their names unique.
static COUNT: AtomicU32 = AtomicU32::new(0);

/// A temporary folder, removed with all its files when dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Creates an empty folder below the system's folder for temporary files.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if it can't be created.
    pub fn new() -> Result<Folder, Error> {
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("lycheeknot-{}-{count}", process::id()));
        fs::create_dir_all(&path).map_err(|source| Error::File { path: path.clone(), source })?;
        Ok(Folder { path })
    }

    /// Returns its path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file and returns its path.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if it can't be written.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, Error> {
        let path = self.path.join(name);
        fs::write(&path, text).map_err(|source| Error::File { path: path.clone(), source })?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}
