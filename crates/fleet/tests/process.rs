//! Tests of process handles, with a shell instead of the programs.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use expect_test::expect;
use fleet::Process;

const SHELL: &str = "/bin/sh";
/// Time for a process to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a shell script under a name, with an empty log.
fn start(name: &str, script: &str) -> Process {
    let args = ["-c".to_owned(), script.to_owned()];
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let _ = fs::remove_file(logs.join(format!("{name}.log")));
    Process::start(name, Path::new(SHELL), &args, &logs).expect("a shell that starts")
}

/// Returns the state letter of a process; `None` once it has ended.
fn state(pid: u32) -> Option<char> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    text.rsplit_once(") ")?.1.chars().next()
}

/// Waits until the state of a process meets a condition.
fn wait_for(pid: u32, wanted: impl Fn(Option<char>) -> bool) {
    while !wanted(state(pid)) {
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn the_line_with_the_listening_address_is_awaited() {
    let process = start("told", "echo starting; echo listening on 127.0.0.1:1; exec sleep 60");
    assert_eq!(process.wait_until_listening().unwrap(), "on 127.0.0.1:1");
}

#[test]
fn a_process_that_fails_to_start_shows_its_log() {
    let process = start("failing", "echo the port is taken >&2; exit 1");
    let error = process.wait_until_listening().unwrap_err();
    expect![[r#"
        `failing` did not say that it listens; the end of its log:
          the port is taken"#]]
    .assert_eq(&error.to_string());
}

#[test]
fn a_frozen_process_thaws_and_stops_gracefully() {
    let mut process =
        start("frozen", "trap 'exit 0' TERM; echo listening on x; while :; do :; done");
    process.wait_until_listening().unwrap();
    process.freeze().unwrap();
    wait_for(process.pid(), |state| state == Some('T'));
    process.resume().unwrap();
    process.terminate().unwrap();
    assert!(process.wait(STOP_TIMEOUT));
}

#[test]
fn a_panic_leaves_no_process_running() {
    let (sender, pids) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let frozen = start("left", "echo listening on x; exec sleep 60");
        frozen.wait_until_listening().unwrap();
        frozen.freeze().unwrap();
        sender.send(frozen.pid()).unwrap();
        panic!("on purpose");
    });
    let pid = pids.recv().unwrap();
    assert!(thread.join().is_err());
    assert_eq!(state(pid), None);
}
