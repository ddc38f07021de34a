//! Tests of the list of known failures: its entries, the arguments that skip them
//! and the lines that `ci` prints of their runs.

use expect_test::Expect;
use expect_test::expect;

use xtask::red;
use xtask::red::Entry;

const LIST: &str = "Mend these first.\n\n\
    red: late_answer | cargo test -p wire, seed 7 | answer lost | issue 12\n\
    red: a::b::stop | cargo test -p entry | 1 in 20 hangs | issue 14\n";

fn entry() -> Entry {
    red::parse(LIST).expect("the list is valid").remove(0)
}

fn check_report(output: &str, success: bool, expected: Expect) {
    let outcome = match red::report(&entry(), output, success) {
        Ok(line) => line,
        Err(error) => format!("error: {error}"),
    };
    expected.assert_eq(&outcome);
}

#[test]
fn entries_are_read_and_skipped_by_exact_name() {
    let entries = red::parse(LIST).unwrap();
    expect![[r#"
        [
            Entry {
                test: "late_answer",
                command: "cargo test -p wire, seed 7",
                seen: "answer lost",
                issue: "issue 12",
            },
            Entry {
                test: "a::b::stop",
                command: "cargo test -p entry",
                seen: "1 in 20 hangs",
                issue: "issue 14",
            },
        ]"#]]
    .assert_eq(&format!("{entries:#?}"));
    expect!["-- --exact --skip a::b::stop --skip late_answer"]
        .assert_eq(&red::skip_args(&entries).join(" "));
    assert!(red::skip_args(&[]).is_empty());
}

#[test]
fn an_entry_needs_all_parts() {
    let error = red::parse("\nred: late_answer | cargo test | answer lost\n").unwrap_err();
    expect!["KNOWN-RED.txt, line 2: write `red: <test> | <command and seed> | <seen> | <issue>`"]
        .assert_eq(&error.to_string());
    assert!(red::parse("red: late_answer | | answer lost | issue 12").is_err());
}

#[test]
fn a_failure_is_reported() {
    let output = "\nrunning 0 tests\n\ntest result: ok. 0 passed; 0 failed\n\
        running 1 test\ntest late_answer ... FAILED\ntest result: FAILED. 0 passed; 1 failed\n";
    check_report(
        output,
        false,
        expect![
            "ci: known red: late_answer: failed, as is known (seen: answer lost; cargo test -p wire, seed 7; issue 12)"
        ],
    );
}

#[test]
fn a_pass_is_reported() {
    let output = "running 1 test\ntest late_answer ... ok\ntest result: ok. 1 passed\n";
    check_report(
        output,
        true,
        expect![
            "ci: known red: late_answer: passed this time; remove its entry once it is mended (seen: answer lost; cargo test -p wire, seed 7; issue 12)"
        ],
    );
}

#[test]
fn an_entry_names_one_test() {
    check_report(
        "running 0 tests\ntest result: ok. 0 passed\n",
        true,
        expect![
            "error: KNOWN-RED.txt names `late_answer`, but no test has this name; remove the entry"
        ],
    );
    check_report(
        "running 1 test\nrunning 1 test\n",
        true,
        expect![
            "error: KNOWN-RED.txt names `late_answer`, but 2 tests have this name; give the red one a name of its own"
        ],
    );
}

/// Guards against a run of all tests that ends in an error only after minutes.
#[test]
fn an_entry_that_names_no_test_or_two_is_found_in_the_list_of_all_tests() {
    let outcome = |list: &str| match red::check_names(&[entry()], list) {
        Ok(()) => "ok".to_owned(),
        Err(error) => error.to_string(),
    };
    expect!["ok"].assert_eq(&outcome("late_answer: test\na::late_answer: test\n\n2 tests\n"));
    expect!["KNOWN-RED.txt names `late_answer`, but no test has this name; remove the entry"]
        .assert_eq(&outcome("a::late_answer: test\nlate_answer: benchmark\n"));
    expect![
        "KNOWN-RED.txt names `late_answer`, but 2 tests have this name; give the red one a name of its own"
    ]
    .assert_eq(&outcome("late_answer: test\n\n1 test\nlate_answer: test\n"));
}
