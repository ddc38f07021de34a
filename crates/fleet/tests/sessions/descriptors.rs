//! No process of a deployment uses io_uring or starts child processes.

use std::fs;
use std::path::Path;

use fleet::Process;

use crate::fixture::Fixture;

#[ntex::test]
async fn no_process_uses_io_uring_or_has_children() {
    let fixture = Fixture::start().await;
    let processes = processes(&fixture);
    assert_eq!(processes.len(), 20);
    for process in processes {
        let descriptors = descriptors(process.pid());
        let is_open = |kind: &str| descriptors.iter().any(|target| target.contains(kind));
        assert!(is_open("eventpoll"), "{}: {descriptors:?}", process.name());
        assert!(!is_open("io_uring"), "{}: {descriptors:?}", process.name());
        let maps = fs::read_to_string(format!("/proc/{}/maps", process.pid())).expect("the file");
        assert!(!maps.contains("io_uring"), "{} maps an io_uring", process.name());
        assert_eq!(children(process.pid()), Vec::<String>::new(), "{}", process.name());
    }
}

/// Returns all processes of a deployment.
fn processes(fixture: &Fixture) -> Vec<&Process> {
    let fleet = &fixture.fleet;
    let daemons = fleet.nodes().map(|node| &node.process);
    let engines = fleet.endpoints.iter().map(|endpoint| &endpoint.engine.process);
    daemons.chain(engines).chain([&fleet.key_value.process, &fleet.vms.process]).collect()
}

/// Returns the link targets of the file descriptors of a process.
fn descriptors(pid: u32) -> Vec<String> {
    let entries = fs::read_dir(format!("/proc/{pid}/fd")).expect("the folder");
    let targets = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    targets.map(|target| target.display().to_string()).collect()
}

/// Returns the names of the child processes of a process.
fn children(pid: u32) -> Vec<String> {
    let entries = fs::read_dir("/proc").expect("the folder");
    let folders = entries.filter_map(|entry| Some(entry.ok()?.path()));
    folders.filter(|folder| parent(folder) == Some(pid)).map(|folder| name(&folder)).collect()
}

/// Returns the id of the parent of a process: the fourth field of `stat`, which is
/// the second after the name in parentheses.
fn parent(folder: &Path) -> Option<u32> {
    let stat = fs::read_to_string(folder.join("stat")).ok()?;
    stat.rsplit_once(") ")?.1.split(' ').nth(1)?.parse().ok()
}

/// Returns the name of a process.
fn name(folder: &Path) -> String {
    fs::read_to_string(folder.join("comm")).unwrap_or_default()
}
