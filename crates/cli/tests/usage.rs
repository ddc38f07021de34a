//! Sessions without a fleet: what is called in, what is printed and the exit code out.

use std::path::Path;
use std::process::Command;

use expect_test::Expect;
use expect_test::expect;

/// The command line as this build made it.
const PROGRAM: &str = env!("CARGO_BIN_EXE_lycheeknot");

fn check(args: &[&str], expected: Expect) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut command = Command::new(PROGRAM);
    command.args(args).current_dir(folder).env_remove("LYCHEEKNOT_PROFILE");
    let output = command.output().expect("the command line was built with its tests");
    let code = output.status.code().expect("it ends by itself");
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    expected.assert_eq(&format!("exit {code}\n{out}{err}"));
}

#[test]
fn a_command_that_is_not_there_is_a_wrong_call() {
    check(
        &["bogus"],
        expect![[r#"
        exit 2
        Unrecognized argument: bogus

        Run lycheeknot --help for more information.
    "#]],
    );
    check(
        &["confirm"],
        expect![[r#"
        exit 2
        Required positional arguments not provided:
            plan

        Run lycheeknot --help for more information.
    "#]],
    );
}

#[test]
fn a_missing_profile_is_named_with_the_ways_to_name_one() {
    check(
        &["status"],
        expect![[r#"
        exit 1
        lycheeknot: the profile lycheeknot.toml can't be read (No such file or directory (os error 2)): name one with -p or in LYCHEEKNOT_PROFILE; docs/CLI.md has its keys
    "#]],
    );
    check(
        &["--json", "-p", "absent.toml", "status"],
        expect![[r#"
        exit 1
        {"error":"the profile absent.toml can't be read (No such file or directory (os error 2)): name one with -p or in LYCHEEKNOT_PROFILE; docs/CLI.md has its keys","exit":1}
    "#]],
    );
}

#[test]
fn a_file_that_is_no_intent_is_told_line_by_line() {
    check(
        &["intent", "check", "Cargo.toml"],
        expect![[r#"
        exit 5
        lycheeknot: Cargo.toml has 1 fault:
          line 10: intent: unknown field `bin`, expected one of `budget`, `limit`, `rank`, `service`, `account`: see docs/INTENTS.md for the keys
    "#]],
    );
}

#[test]
fn help_is_no_failure() {
    check(
        &["confirm", "--help"],
        expect![[r#"
        exit 0
        Usage: lycheeknot confirm [--wait <wait>] [--] <plan>

        Puts a plan in force.

        Positional Arguments:
          plan              the plan's name, as `plan` printed it

        Options:
          --wait            seconds to wait until the plan is in force at every process
          --help, help      display usage information

    "#]],
    );
}

#[test]
fn the_settings_of_a_gateway_are_checked_as_well() {
    check(
        &["settings", "check", "tests/gateway.toml"],
        expect![[r#"
        exit 0
        no faults: settings of VM g-1
    "#]],
    );
}
