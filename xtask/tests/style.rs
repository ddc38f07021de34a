//! Tests of the style checks: each compares the findings in some files.

use expect_test::Expect;
use expect_test::expect;

use xtask::style;
use xtask::style::File;

/// Replaced by a slash in the checked texts. A path of a machine in this file would
/// itself be a finding.
const SLASH: char = '%';

fn check(files: &[(&str, &str)], expected: Expect) {
    let files: Vec<File> = files.iter().map(|(path, text)| file(path, text)).collect();
    let findings: Vec<String> =
        style::check(&files).iter().map(|finding| format!("{finding}\n")).collect();
    expected.assert_eq(&findings.concat());
}

fn file(path: &str, text: &str) -> File {
    File { path: path.to_owned(), text: text.replace(SLASH, "/") }
}

#[test]
fn clean_files_have_no_findings() {
    let files = [
        ("src/lib.rs", include_str!("data/clean.txt")),
        ("tests/lib.rs", "#[test]\nfn f() { g().unwrap() }\n"),
        ("docs/PLAN.md", "See [the code](../src/lib.rs) and [more](https://example.org/a).\n"),
    ];
    check(&files, expect![[""]]);
}

#[test]
fn braces_and_a_fourth_group_are_found() {
    check(
        &[("src/lib.rs", include_str!("data/imports.txt"))],
        expect![[r#"
        src/lib.rs:1: braces in an import; write one line for each name
        src/lib.rs:6: braces in an import; write one line for each name
        src/lib.rs:7: braces in an import; write one line for each name
        src/lib.rs:14: braces in an import; write one line for each name
        src/lib.rs:11: imports in 4 groups; keep at most three: std, external, own
    "#]],
    );
}

#[test]
fn calls_that_may_panic_are_found() {
    check(
        &[("src/lib.rs", include_str!("data/unwraps.txt"))],
        expect![[r#"
        src/lib.rs:2: a call that may panic; return a typed error
        src/lib.rs:3: a call that may panic; return a typed error
        src/lib.rs:4: a call that may panic; return a typed error
        src/lib.rs:5: a call that may panic; return a typed error
    "#]],
    );
}

#[test]
fn tests_in_source_files_are_found() {
    let text = include_str!("data/inline.txt");
    check(
        &[("src/lib.rs", text)],
        expect![[r#"
        src/lib.rs:6: a test inside a source file; move it to a test file
        src/lib.rs:7: a test inside a source file; move it to a test file
        src/lib.rs:10: a test inside a source file; move it to a test file
        src/lib.rs:13: a test inside a source file; move it to a test file
    "#]],
    );
    check(&[("src/lib_test.rs", text), ("src/lib.rs", &"\n".repeat(50))], expect![[""]]);
}

#[test]
fn long_files_are_found() {
    let files = [("src/a.rs", &*"\n".repeat(400)), ("src/b.rs", &*"\n".repeat(401))];
    check(
        &files,
        expect![[r#"
        src/b.rs:401: 401 lines; split the file so that none has more than 400
    "#]],
    );
}

#[test]
fn names_of_the_platform_are_found_outside_its_folder() {
    let files = [
        ("platform/names.txt", "x-one\nkv-two\n"),
        ("platform/src/a.rs", "const A: &str = \"X-One\";\n"),
        ("crates/standins/src/a.rs", "const A: &str = \"X-One\";\n"),
        ("crates/gateway/tests/a.rs", "const A: &str = \"X-One\";\n"),
        ("crates/gateway/src/a.rs", "\nconst A: &str = \"X-One\";\n// /kv-two\n"),
    ];
    check(
        &files,
        expect![[r#"
        crates/gateway/src/a.rs:2: `x-one` is a name of the users' platform; decode it in `platform/`
        crates/gateway/src/a.rs:3: `kv-two` is a name of the users' platform; decode it in `platform/`
    "#]],
    );
}

#[test]
fn paths_of_a_machine_are_found() {
    let text = "cd %root%src\nlog = \"%home%me%log\"\nsee ../root/x, a%work%b and %workshop%\n";
    check(
        &[("ci/run", text)],
        expect![[r#"
        ci/run:1: a path of one machine; write it from the root of the repository
        ci/run:2: a path of one machine; write it from the root of the repository
    "#]],
    );
}

#[test]
fn links_to_missing_files_are_found() {
    let files = [
        ("docs/PLAN.md", "[a](GONE.md) [b](PLAN.md#top) [c](#top) [d](../docs/) [e](../../x)\n"),
        ("src/a/b.rs", "//! [a](../../docs/PLAN.md), [b](docs/PLAN.md)\n/// [c](Item)\n"),
    ];
    check(
        &files,
        expect![[r#"
        docs/PLAN.md:1: a link to `GONE.md`, which is no file here; correct it
        docs/PLAN.md:1: a link to `../../x`, which is no file here; correct it
        src/a/b.rs:1: a link to `docs/PLAN.md`, which is no file here; correct it
    "#]],
    );
}
