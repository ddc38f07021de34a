//! `cargo xtask ci`: the checks that every change has to pass.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use crate::build;
use crate::cargo;
use crate::error::Error;
use crate::red;
use crate::red::Entry;
use crate::style;

/// Runs all checks in order.
///
/// The programs are built before the tests, since `cargo test` builds a program
/// only for the tests of its own package, and the tests of `fleet` start the
/// programs of all packages.
///
/// # Errors
///
/// The error of the first check that fails.
pub fn run() -> Result<(), Error> {
    let root = root();
    cargo::run(&["fmt", "--all", "--check"])?;
    check_style(&root)?;
    cargo::run(&["clippy", "--workspace", "--all-targets", "--", "--deny", "warnings"])?;
    build::run(false)?;
    let known = read_known_red(&root)?;
    red::check(&known)?;
    let test = [&["test", "--workspace"][..], &red::skip_args(&known)].concat();
    cargo::run(&test)?;
    red::run(&known)?;
    cargo::run(&["doc", "--workspace", "--no-deps"])
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn check_style(root: &Path) -> Result<(), Error> {
    println!("ci: style");
    let files = style::tracked_files(root)?;
    let findings = style::check(&files);
    for finding in &findings {
        println!("{finding}");
    }
    if findings.is_empty() { Ok(()) } else { Err(Error::Style(findings.len())) }
}

fn read_known_red(root: &Path) -> Result<Vec<Entry>, Error> {
    let path = root.join(red::FILE);
    match fs::read_to_string(&path) {
        Ok(text) => red::parse(&text),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(source) => Err(Error::Read { path, source }),
    }
}
