//! Configuration revisions in the logs of daemons.

use fleet::Node;

use crate::fixture::Fixture;

/// Log message of a daemon that puts a revision in force.
const IN_FORCE: &str = "configuration in force";

/// Returns the revisions that the processes of a VM put in force, in log order.
pub fn revisions(fixture: &Fixture, node: &Node) -> Vec<u64> {
    let path = fixture.fleet.files().join(format!("{}.log", node.vm.vm));
    let text = std::fs::read_to_string(path).expect("the log");
    let lines = text.lines().filter(|line| line.contains(IN_FORCE));
    lines.map(|line| revision(line).expect("a revision")).collect()
}

/// Checks that no VM ever returned to an older revision and that all have
/// `in_force` now.
pub fn check_revisions(fixture: &Fixture, in_force: u64) {
    for node in fixture.fleet.nodes() {
        let revisions = revisions(fixture, node);
        assert!(revisions.is_sorted(), "{}: {revisions:?}", node.vm.vm);
        assert_eq!(revisions.last(), Some(&in_force), "{}", node.vm.vm);
    }
}

/// Returns the value of the key `revision` of a log line.
fn revision(line: &str) -> Option<u64> {
    let (_, rest) = line.split_once(" revision=")?;
    rest.split(' ').next()?.parse().ok()
}
