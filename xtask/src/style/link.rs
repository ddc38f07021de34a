//! Check that relative links in documents and doc comments lead to existing files.

use crate::style::file::File;
use crate::style::finding::Finding;
use crate::style::rule::Rule;

pub(crate) fn check(file: &File, files: &[File], findings: &mut Vec<Finding>) {
    if !file.is_rust() && !file.is_document() {
        return;
    }
    for (number, line) in file.lines() {
        if file.is_rust() && !is_doc_comment(line) {
            continue;
        }
        for target in targets(line).filter(|target| is_path(target, file)) {
            let path = resolve(&file.path, target);
            if !exists(&path, files) {
                findings.push(Finding::new(file, number, Rule::Link(target.to_owned())));
            }
        }
    }
}

fn is_doc_comment(line: &str) -> bool {
    let line = line.trim_start();
    line.starts_with("///") || line.starts_with("//!")
}

/// Returns the targets of the links on a line, without their fragments.
fn targets(line: &str) -> impl Iterator<Item = &str> {
    let rests = line.split("](").skip(1);
    rests.filter_map(|rest| rest.split([')', ' ', '#']).next())
}

/// Returns whether a link target is a path. In doc comments, a target with
/// neither a slash nor the extension `.md` names a Rust item.
fn is_path(target: &str, file: &File) -> bool {
    if target.is_empty() || target.contains("://") || target.starts_with("mailto:") {
        return false;
    }
    file.is_document() || target.contains('/') || target.ends_with(".md")
}

/// Returns the path from the root of a target that is relative to a file.
fn resolve(from: &str, target: &str) -> String {
    let mut parts: Vec<&str> = from.split('/').collect();
    parts.pop();
    for part in target.split('/') {
        match part {
            "" | "." => {}
            ".." if parts.last().is_some_and(|last| *last != "..") => {
                parts.pop();
            }
            part => parts.push(part),
        }
    }
    parts.join("/")
}

/// Returns whether the path is a listed file or a directory that contains one.
fn exists(path: &str, files: &[File]) -> bool {
    files.iter().any(|file| match file.path.strip_prefix(path) {
        Some(rest) => path.is_empty() || rest.is_empty() || rest.starts_with('/'),
        None => false,
    })
}
