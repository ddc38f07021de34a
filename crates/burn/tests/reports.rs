//! Tests the reports and charts that are made of counts.

#![allow(clippy::unwrap_used)]

use burn::Ledger;
use burn::Report;
use burn::Sheet;
use burn::Sum;
use burn::count::Outcome;
use burn::plot;
use burn::report;
use config::Document;
use config::check;
use expect_test::expect;
use expect_test::expect_file;
use wire::Stamp;

/// Milliseconds in a minute; incarnations are start times in milliseconds.
const MS_PER_MINUTE: u64 = 60_000;

fn stamp(vm: &str) -> Stamp {
    Stamp { vm: vm.to_owned(), incarnation: 1, revision: 1 }
}

/// The intent of the deployment `sofia`, with an objective of 99 percent for its
/// most urgent rank.
fn document() -> Document {
    let text = include_str!("../../../deploy/sofia/intent.toml");
    check::parse(&text.replacen("worth =", "objective_percent = 99\nworth =", 1)).unwrap()
}

/// Returns the report on the counts of some processes, while others did not answer.
fn report(document: &Document, sheets: &[Sheet], missing: Vec<String>) -> Report {
    let mut sum = Sum::default();
    sheets.iter().for_each(|sheet| sum.add(sheet));
    missing.into_iter().for_each(|vm| sum.record_missing(vm));
    report::report(document, &sum)
}

/// Returns counts of the minutes 100 to 129: one service without pause, and one
/// without requests in the minutes 110 to 114; the last four minutes have late
/// and refused requests as well.
fn ledger() -> Ledger {
    let mut ledger = Ledger::default();
    for minute in 100..130 {
        for _ in 0..9 {
            ledger.record(minute, "classify", "clerks", Outcome::Good);
        }
        if !(110..115).contains(&minute) {
            ledger.record(minute, "outline", "coaches-north", Outcome::Good);
        }
    }
    for minute in 126..130 {
        ledger.record(minute, "classify", "clerks", Outcome::Late);
        ledger.record(minute, "outline", "coaches-north", Outcome::Refused);
    }
    ledger
}

#[test]
fn counts_of_two_processes_add_up_and_restarted_or_missing_processes_are_named() {
    let mut restarted = stamp("b");
    restarted.incarnation = 118 * MS_PER_MINUTE;
    let sheets = [Sheet::new(stamp("a"), &ledger(), 129), Sheet::new(restarted, &ledger(), 129)];
    let report = report(&document(), &sheets, vec!["c".to_owned()]);
    expect![[r#"
        counted at 2 processes: a, b
        restarted: b has counted for 12 min, what it had before is lost
        missing: c did not answer, the figures below are without theirs
        SCOPE    NAME                 OBJECTIVE     5 MIN  ACHIEVED   BURN    60 MIN  ACHIEVED   BURN  TREND
        rank     interactive              99.0%        98     91.8%    8.2       548     98.5%    1.5  rising
        rank     standard                 95.0%        18     55.6%    8.9        58     86.2%    2.8  rising
        rank     batch                    95.0%         0         -      -         0         -      -  unknown
        service  classify                 99.0%        98     91.8%    8.2       548     98.5%    1.5  rising
        service  outline                  95.0%        18     55.6%    8.9        58     86.2%    2.8  rising
        account  clerks                   99.0%        98     91.8%    8.2       548     98.5%    1.5  rising
        account  coaches-north            95.0%        18     55.6%    8.9        58     86.2%    2.8  rising
    "#]].assert_eq(&report.to_string());
    expect_file!["data/burn.svg"].assert_eq(&plot::svg(&report).unwrap());
}

#[test]
fn a_fleet_that_does_not_answer_is_reported_unlike_one_without_requests() {
    let unknown = report(&document(), &[], vec!["a".to_owned(), "b".to_owned()]);
    expect![[r#"
        counted at 0 processes:
        missing: a, b did not answer, the figures below are without theirs
        nothing is known: no process answered
    "#]]
    .assert_eq(&unknown.to_string());
    let idle = Sheet::new(stamp("a"), &Ledger::default(), 129);
    let idle = report(&document(), &[idle], Vec::new());
    expect![[r#"
        counted at 1 processes: a
        SCOPE    NAME                 OBJECTIVE     5 MIN  ACHIEVED   BURN    60 MIN  ACHIEVED   BURN  TREND
        rank     interactive              99.0%         0         -      -         0         -      -  unknown
        rank     standard                 95.0%         0         -      -         0         -      -  unknown
        rank     batch                    95.0%         0         -      -         0         -      -  unknown
    "#]].assert_eq(&idle.to_string());
}

#[test]
fn the_budget_of_an_account_that_uses_two_ranks_follows_both_objectives() {
    let mut ledger = Ledger::default();
    for n in 0..100 {
        let outcome = if n < 3 { Outcome::Failed } else { Outcome::Good };
        ledger.record(100, "classify", "school-1", outcome);
        ledger.record(100, "outline", "school-1", Outcome::Good);
    }
    let report = report(&document(), &[Sheet::new(stamp("a"), &ledger, 100)], Vec::new());
    let line = report.lines.iter().find(|line| line.name == "school-1").unwrap();
    // The objectives allow 1 % of 100 requests and 5 % of another 100 to fail; 3 failed.
    assert_eq!(line.long.budget, 6.0);
    assert_eq!(line.long.burn, Some(0.5));
}

#[test]
fn minutes_older_than_the_long_window_are_dropped() {
    let mut ledger = ledger();
    ledger.record(400, "brief", "coaches", Outcome::Good);
    let sheet = Sheet::new(stamp("a"), &ledger, 400);
    assert_eq!(sheet.long.len(), 1);
    assert_eq!(sheet.long[0].count.total(), 1);
}

#[test]
fn slots_add_up_to_the_long_window() {
    let sheet = Sheet::new(stamp("a"), &ledger(), 129);
    let slots = sheet.slots.iter().flat_map(|slot| &slot.tallies);
    let total: u64 = slots.map(|tally| tally.count.total()).sum();
    assert_eq!(total, sheet.long.iter().map(|row| row.count.total()).sum::<u64>());
}

#[test]
fn requests_counted_after_the_clock_was_set_back_are_not_lost() {
    let mut ledger = Ledger::default();
    ledger.record(100, "brief", "coaches", Outcome::Good);
    ledger.record(90, "brief", "coaches", Outcome::Failed);
    assert_eq!(ledger.window(100, 5)[0].count.total(), 2);
}
