//! Check that Rust sources use names of the users' platform only in `platform/`.
//! Tests and the stand-ins are exempt.

use crate::style::file::File;
use crate::style::finding::Finding;
use crate::style::rule::Rule;

/// Folder of the platform's adapter, which uses the names.
const FOLDER: &str = "platform/";

/// File with the names, one per line in lower case.
const LIST: &str = "platform/names.txt";

/// Folder of the stand-ins for outside systems, whose interfaces contain the names.
const STANDINS: &str = "crates/standins/";

pub(crate) fn check(files: &[File], findings: &mut Vec<Finding>) {
    let list = files.iter().find(|file| file.path == LIST);
    let names: Vec<&str> = list.map(|list| list.text.lines().collect()).unwrap_or_default();
    let is_checked = |file: &&File| {
        let is_allowed = file.path.starts_with(FOLDER) || file.path.starts_with(STANDINS);
        file.is_rust() && !file.is_test() && !is_allowed
    };
    for file in files.iter().filter(is_checked) {
        for (number, line) in file.lines() {
            let line = line.to_ascii_lowercase();
            if let Some(name) = names.iter().find(|name| line.contains(**name)) {
                findings.push(Finding::new(file, number, Rule::Name((*name).to_owned())));
            }
        }
    }
}
