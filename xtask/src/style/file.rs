//! A file of the repository.

/// A file of the repository with its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct File {
    /// Path from the root, with `/` between its parts.
    pub path: String,
    /// Whole text of the file.
    pub text: String,
}

impl File {
    /// Returns whether this is a Rust file, by its extension.
    pub fn is_rust(&self) -> bool {
        self.path.ends_with(".rs")
    }

    /// Returns whether this is a Markdown document, by its extension.
    pub fn is_document(&self) -> bool {
        self.path.ends_with(".md")
    }

    /// Returns whether this is a test file: `tests.rs`, `*_test.rs` or any file
    /// below a folder `tests`.
    pub fn is_test(&self) -> bool {
        let mut parts = self.path.rsplit('/');
        let name = parts.next().unwrap_or_default();
        name == "tests.rs" || name.ends_with("_test.rs") || parts.any(|part| part == "tests")
    }

    /// Returns the lines with their numbers; the first is 1.
    pub fn lines(&self) -> impl Iterator<Item = (usize, &str)> {
        self.text.lines().enumerate().map(|(index, line)| (index + 1, line))
    }
}
