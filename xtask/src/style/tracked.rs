//! Lists the files that style checks read.

use std::fs;
use std::io;
use std::path::Path;
use std::process::Command;

use crate::error::Error;
use crate::style::file::File;

/// Reads all text files below `root` that git tracks or would track. Deleted and
/// binary files are skipped.
///
/// # Errors
///
/// [`Error::Start`] or [`Error::Command`] if git can't list the files,
/// [`Error::Read`] if one can't be read.
pub fn tracked_files(root: &Path) -> Result<Vec<File>, Error> {
    let output = Command::new("git")
        .args(["ls-files", "-z", "--cached", "--others", "--exclude-standard"])
        .current_dir(root)
        .output()
        .map_err(|source| Error::Start { program: "git", source })?;
    if !output.status.success() {
        return Err(Error::Command("git ls-files".to_owned()));
    }
    let list = String::from_utf8_lossy(&output.stdout);
    let paths = list.split('\0').filter(|path| !path.is_empty());
    paths.filter_map(|path| read(root, path).transpose()).collect()
}

fn read(root: &Path, path: &str) -> Result<Option<File>, Error> {
    let full = root.join(path);
    match fs::read_to_string(&full) {
        Ok(text) => Ok(Some(File { path: path.to_owned(), text })),
        Err(error) if is_skipped(error.kind()) => Ok(None),
        Err(source) => Err(Error::Read { path: full, source }),
    }
}

fn is_skipped(kind: io::ErrorKind) -> bool {
    matches!(kind, io::ErrorKind::NotFound | io::ErrorKind::InvalidData)
}
