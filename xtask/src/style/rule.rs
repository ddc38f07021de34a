//! Rules of the house style.

use displaydoc::Display;

/// Rule of the house style; its message says how to comply.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Rule {
    /// braces in an import; write one line for each name
    Braces,
    /// imports in {0} groups; keep at most three: std, external, own
    Groups(usize),
    /// {lines} lines; split the file so that none has more than {max}
    Length {
        /// Number of lines of the file.
        lines: usize,
        /// Highest permitted number of lines.
        max: usize,
    },
    /// a call that may panic; return a typed error
    Unwrap,
    /// a test inside a source file; move it to a test file
    Inline,
    /// `{0}` is a name of the users' platform; decode it in `platform/`
    Name(String),
    /// a path of one machine; write it from the root of the repository
    Path,
    /// a link to `{0}`, which is no file here; correct it
    Link(String),
}
