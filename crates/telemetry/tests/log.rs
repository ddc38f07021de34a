//! Tests of formatting log records as lines.

use expect_test::Expect;
use expect_test::expect;
use log::Level;
use log::Record;

use telemetry::Process;
use telemetry::log::Line;

fn check(pairs: &[(&str, &str)], message: &str, expected: Expect) {
    let process = Process { vm: "s1-entry-1".to_owned(), incarnation: 7 };
    let mut builder = Record::builder();
    builder.level(Level::Info).target("entry::proxy").key_values(&pairs);
    expected.assert_eq(&render(&process, &builder.args(format_args!("{message}")).build()));
}

fn render(process: &Process, record: &Record<'_>) -> String {
    Line { process, record }.to_string()
}

#[test]
fn a_record_is_formatted_as_key_value_pairs() {
    check(
        &[("request", "r-1"), ("account", "club"), ("revision", "12")],
        "attempt sent",
        expect![[
            r#"level=info target=entry::proxy vm=s1-entry-1 incarnation=7 request=r-1 account=club revision=12 message="attempt sent""#
        ]],
    );
}

#[test]
fn line_breaks_and_quotes_in_values_are_escaped() {
    check(
        &[("account", "club\nlevel=error"), ("path", "")],
        "\"late\"\r\n",
        expect![[
            r#"level=info target=entry::proxy vm=s1-entry-1 incarnation=7 account="club\nlevel=error" path="" message="\"late\"\r\n""#
        ]],
    );
}
