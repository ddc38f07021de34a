//! Runs `lycheeknotd --check` on settings files and compares its output and exit code.

use std::fs;
use std::path::Path;
use std::process::Command;

use expect_test::Expect;
use expect_test::expect;

/// Path of the daemon that this build made.
const DAEMON: &str = env!("CARGO_BIN_EXE_lycheeknotd");
/// Settings of an entry without faults.
const ENTRY: &str = include_str!("../../settings/tests/data/entry.toml");

/// Checks settings that are written to a file `name`; in the output the full path
/// is replaced by that name.
fn check(name: &str, text: &str, expected: Expect) {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the folder for temporary files can be written");
    let output = Command::new(DAEMON).arg("--check").arg("--settings").arg(&path).output();
    let output = output.expect("the daemon was built with its tests");
    let code = output.status.code().expect("the daemon ends by itself");
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    expected.assert_eq(&format!("exit {code}\n{out}{err}").replace(&*path.to_string_lossy(), name));
}

#[test]
fn valid_settings_pass() {
    check(
        "sound.toml",
        ENTRY,
        expect![[r#"
        exit 0
        the settings have no faults
    "#]],
    );
}

#[test]
fn every_fault_is_reported_with_its_remedy() {
    let faulty = ENTRY.replace("127.0.0.1:7002", "nowhere").replace("\"entry\"", "\"proxy\"");
    check(
        "faulty.toml",
        &faulty,
        expect![[r#"
        exit 1
        lycheeknotd: the settings have faults; mend these lines:
          line 2, `role`: is not one of the choices; use "entry", "agent" or "gateway"
          line 9, `listen.control`: is not a socket address; write an IP number and a port, as in "10.0.0.7:7001"
    "#]],
    );
}

#[test]
fn a_missing_file_is_reported_with_its_path() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("absent.toml");
    let output = Command::new(DAEMON).arg("--check").arg("--settings").arg(&path).output();
    let output = output.expect("the daemon was built with its tests");
    let err = String::from_utf8_lossy(&output.stderr);
    let printed = err.replace(&*path.to_string_lossy(), "absent.toml");
    expect![[r#"
        lycheeknotd: the settings file "absent.toml" can't be read (No such file or directory (os error 2)); check that it exists and is UTF-8
    "#]].assert_eq(&printed);
}
