//! `lycheeknot intent`.

use std::fmt;
use std::io;
use std::path::Path;

use config::Document;
use config::Fault;
use config::check;
use serde::Serialize;
use wire::Digest;

use crate::Error;
use crate::output::Format;
use crate::profile;

/// The result for an intent without faults.
#[derive(Debug, Serialize)]
struct Checked {
    ranks: usize,
    services: usize,
    accounts: usize,
}

impl fmt::Display for Checked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Checked { ranks, services, accounts } = self;
        write!(f, "no faults: {ranks} ranks, {services} services, {accounts} accounts")
    }
}

#[derive(Debug, Serialize)]
struct Hash {
    hash: Digest,
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.hash)
    }
}

/// Checks an intent file and prints how much it declares.
pub fn check(file: &Path, format: Format) -> Result<(), Error> {
    let document = read_intent(file)?;
    format.print(&Checked {
        ranks: document.ranks.len(),
        services: document.services.len(),
        accounts: document.accounts.len(),
    });
    Ok(())
}

/// Prints the hash of a token that is read from standard input.
pub fn hash_token(format: Format) -> Result<(), Error> {
    let mut line = String::new();
    let failed = |error: io::Error| Error::File("standard input".to_owned(), error.to_string());
    io::stdin().read_line(&mut line).map_err(failed)?;
    format.print(&Hash { hash: Digest::of(line.trim_end().as_bytes()) });
    Ok(())
}

/// Reads an intent file and checks it.
pub fn read_intent(file: &Path) -> Result<Document, Error> {
    let text = profile::read_file(file)?;
    check::parse(&text).map_err(|faults| Error::Faults(format_faults(file, &faults)))
}

fn format_faults(file: &Path, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("\n  {fault}")).collect();
    let noun = if faults.len() == 1 { "fault" } else { "faults" };
    format!("{} has {} {noun}:{}", file.display(), faults.len(), lines.concat())
}
