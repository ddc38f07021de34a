//! Runs commands that need no fleet and compares their output and exit codes.

use std::path::Path;
use std::process::Command;

use expect_test::Expect;
use expect_test::expect;

/// Path of the program that this build made.
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
fn unknown_commands_and_missing_arguments_are_usage_errors() {
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
fn a_missing_profile_is_reported_with_the_ways_to_give_one() {
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
fn faults_of_an_intent_file_are_reported_with_their_lines() {
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
fn help_exits_with_code_0() {
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
fn the_settings_of_a_gateway_can_be_checked() {
    check(
        &["settings", "check", "tests/gateway.toml"],
        expect![[r#"
        exit 0
        no faults: settings of VM g-1
    "#]],
    );
}
