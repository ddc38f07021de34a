//! House style checks that formatter and linter don't cover.

mod file;
mod finding;
mod import;
mod inline;
mod length;
mod link;
mod names;
mod path;
mod rule;
mod tracked;
mod unwrap;

pub use crate::style::file::File;
pub use crate::style::finding::Finding;
pub use crate::style::rule::Rule;
pub use crate::style::tracked::tracked_files;

/// Checks all files and returns the findings: those of single files in the order
/// of the files, then those on names of the platform.
pub fn check(files: &[File]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for file in files {
        path::check(file, &mut findings);
        link::check(file, files, &mut findings);
        if file.is_rust() {
            check_rust(file, &mut findings);
        }
    }
    names::check(files, &mut findings);
    findings
}

fn check_rust(file: &File, findings: &mut Vec<Finding>) {
    import::check(file, findings);
    length::check(file, findings);
    if file.is_test() {
        return;
    }
    inline::check(file, findings);
    unwrap::check(file, findings);
}
