//! Operators list the history, roll back, confirm concurrently and read reports.

use std::process::Command;
use std::thread;

use expect_test::expect;
use fleet::Binaries;
use fleet::Chat;
use serde_json::Value;
use standins::engine::Message;

use crate::fixture::Fixture;
use crate::fixture::sample_intent;
use crate::transcript::plan_name;

/// Number of rounds of two concurrent confirms.
const ROUNDS: u64 = 25;
/// Exit code of a confirm that was applied.
const APPLIED: i32 = 0;
/// Exit code of a confirm that lost against another one.
const SUPERSEDED: i32 = 3;
/// Number of requests to each entry before a report.
const REQUESTS: u64 = 6;

#[ntex::test]
async fn operators_list_the_history_and_roll_back() {
    let fixture = Fixture::start_unconfigured().await;
    let text = std::fs::read_to_string(sample_intent()).expect("the file");
    let first = fixture.write_file("first.toml", &text);
    let second = fixture.write_file("second.toml", &text.replace("worth = 20", "worth = 30"));
    let plans: Vec<String> = [first, second].iter().map(|file| confirm(&fixture, file)).collect();
    let rollback = fixture.run_cli(&["rollback", "1"]);
    let rollback_plan = plan_name(&rollback).to_owned();
    let shown = |text: &str| {
        let text = text.replace(&plans[0], "FIRST").replace(&plans[1], "SECOND");
        text.replace(&rollback_plan, "BACK")
    };
    expect![[r#"
        $ lycheeknot rollback 1
        plan BACK on revision 2
        changes:
          change rank standard: worth 30 to 20
        engines:
          motion-large: 5 model engines: 2 in s1, 2 in s2, 1 in s3
          motion-small: 1 model engine: 1 in s3
          registry: 2 plain engines: 1 in s1, 1 in s2
        budget: 6 of 10 accelerators used, 6 model engines found
        effects:
          rank interactive: keeps 20% of each of 1 model engines, 82.6% of all worth, objective 95%
          rank standard: keeps 20% of each of 5 model engines, 16.5% of all worth, objective 95%
          rank batch: keeps 10% of each of 5 model engines, 0.8% of all worth, objective 95%
          account adjudicators: keeps 80.0% of archive, 100.0% of brief, 40.0% of registry
          account archive-team: keeps 20.0% of archive
          account clerks: keeps 44.4% of classify, 40.0% of registry
          account coaches-north: keeps 25.0% of outline, 10.0% of registry
          account coaches-south: keeps 25.0% of outline, 10.0% of registry
          account school-1: keeps 11.1% of classify, 25.0% of outline
          account school-2: keeps 11.1% of classify, 25.0% of outline
          account school-3: keeps 11.1% of classify
          account school-4: keeps 11.1% of classify
          account school-5: keeps 11.1% of classify
        warnings:
          motion-small would be on one engine only: its services stop if that engine fails; add engines or raise the budget
        exit 0
    "#]].assert_eq(&shown(&rollback));
    expect![[r#"
        $ lycheeknot confirm BACK --wait 10
        revision 3 is confirmed and in force at 10 processes
        exit 0
    "#]]
    .assert_eq(&shown(&fixture.run_cli(&["confirm", &rollback_plan, "--wait", "10"])));
    expect![[r#"
        $ lycheeknot history --last 2
        revision 3 at TIME by demo, plan BACK on 2
          change rank standard: worth 30 to 20
        revision 2 at TIME by demo, plan SECOND on 1
          change rank standard: worth 20 to 30
        exit 0
    "#]]
    .assert_eq(&shown(&fixture.run_cli(&["history", "--last", "2"])));
    expect![[r#"
        $ lycheeknot rollback 77
        lycheeknot: the document of revision 77 isn't kept: `lycheeknot history` shows the revisions; the last 200 can be rolled back to
        exit 1
    "#]].assert_eq(&fixture.run_cli(&["rollback", "77"]));
    expect![[r#"
        $ lycheeknot plan
        lycheeknot: nothing says what to plan: name an intent file, or give --demand to share engines out anew for the intent in force
        exit 2
    "#]].assert_eq(&fixture.run_cli(&["plan"]));
    expect![[r#"
        $ lycheeknot report demand
        lycheeknot: no entry counted a request within the last hour, so there is no demand to follow: plan without --demand
        exit 1
    "#]].assert_eq(&fixture.run_cli(&["report", "demand"]));
}

#[ntex::test]
async fn exactly_one_of_two_concurrent_confirms_wins_each_round() {
    let fixture = Fixture::start_unconfigured().await;
    let text = std::fs::read_to_string(sample_intent()).expect("the file");
    let mut last_seen = revisions(&fixture);
    for round in 0..ROUNDS {
        let plans: Vec<String> = [0, 1]
            .iter()
            .map(|racer| {
                let worth = format!("worth = {}", 1000 + 2 * round + racer);
                let file = fixture.write_file("race.toml", &text.replace("worth = 20", &worth));
                plan_name(&fixture.run_cli(&["plan", &file])).to_owned()
            })
            .collect();
        let mut codes = race_confirms(&fixture, &plans);
        codes.sort_unstable();
        assert_eq!(codes, [APPLIED, SUPERSEDED], "round {round}");
        let status = json(&fixture, &["status"]);
        assert_eq!(status["confirmed"], round + 1, "each round counts once");
        let now = revisions(&fixture);
        let is_not_lower = |(before, now): (&u64, &u64)| now >= before;
        assert!(
            last_seen.iter().zip(&now).all(is_not_lower),
            "round {round}: {last_seen:?} {now:?}"
        );
        last_seen = now;
    }
    let history = json(&fixture, &["history", "--last", "100"]);
    let confirms = history["confirms"].as_array().expect("a list");
    assert_eq!(confirms.len() as u64, ROUNDS);
}

#[ntex::test]
async fn a_report_distinguishes_restarted_and_missing_entries_from_idle_ones() {
    let mut fixture = Fixture::start().await;
    for entry in 0..2 {
        for n in 0..REQUESTS {
            let message = vec![Message::new("user", &format!("motion {n}"))];
            let chat = Chat::whole("classify", message, 2);
            let answer = fixture.caller("clerks").chat(fixture.entry(entry), &chat).await;
            assert!(answer.answer().is_some(), "{answer:?}");
        }
    }
    let file = fixture.fleet.files().join("burn.svg").display().to_string();
    let report = json(&fixture, &["report", "burn", "--plot", &file]);
    assert_eq!(names(&report["counted"]), ["s1-entry-1", "s2-entry-1"]);
    assert_eq!(report["restarted"].as_array().map(Vec::len), Some(2), "both started recently");
    let both = total(&report, "classify");
    assert!(both >= 2 * REQUESTS, "{both}");
    assert!(std::fs::read_to_string(&file).expect("the picture").starts_with("<svg"));
    fixture.fleet.entries[1].process.kill();
    let report = json(&fixture, &["report"]);
    assert_eq!(names(&report["missing"]), ["s2-entry-1"]);
    let one = total(&report, "classify");
    assert!(one >= REQUESTS && one < both, "{one} of {both}");
    let demand = json(&fixture, &["report", "demand"]);
    assert_eq!(names(&demand["missing"]), ["s2-entry-1"]);
    let plan = json(&fixture, &["plan", "--demand"]);
    let warnings = plan["warnings"].as_array().expect("a list");
    let partial = warnings.iter().find_map(|warning| warning.get("partial")).expect("a warning");
    assert_eq!(names(&partial["missing"]), ["s2-entry-1"]);
}

/// Plans an intent, confirms the plan, waits until it is in force at all processes
/// and returns the name of the plan.
fn confirm(fixture: &Fixture, file: &str) -> String {
    let plan = plan_name(&fixture.run_cli(&["plan", file])).to_owned();
    let output = fixture.run_cli(&["confirm", &plan, "--wait", "30"]);
    assert!(output.ends_with("exit 0\n"), "{output}");
    plan
}

/// Confirms plans concurrently and returns the exit codes.
fn race_confirms(fixture: &Fixture, plans: &[String]) -> Vec<i32> {
    let program = Binaries::current().program("lycheeknot").expect("the program is built");
    let profile = fixture.fleet.operator.profile();
    thread::scope(|scope| {
        let confirm = |plan: &String| {
            let mut command = Command::new(&program);
            command.arg("--profile").arg(profile).args(["confirm", plan]);
            scope.spawn(move || command.output().expect("the program runs").status.code())
        };
        let racers: Vec<_> = plans.iter().map(confirm).collect();
        racers.into_iter().filter_map(|racer| racer.join().expect("an exit code")).collect()
    })
}

/// Returns the revision of each process, in the order of the status.
fn revisions(fixture: &Fixture) -> Vec<u64> {
    let status = json(fixture, &["status"]);
    let members = status["status"]["members"].as_array().expect("a list");
    members.iter().filter_map(|member| member["revision"].as_u64()).collect()
}

/// Runs the command line and returns its JSON output.
fn json(fixture: &Fixture, args: &[&str]) -> Value {
    serde_json::from_str(&fixture.fleet.operator.run(args).expect("exit 0")).expect("JSON")
}

/// Returns the strings of a JSON list.
fn names(list: &Value) -> Vec<&str> {
    list.as_array().expect("a list").iter().filter_map(Value::as_str).collect()
}

/// Returns the number of requests of a service in the long window of a report.
fn total(report: &Value, service: &str) -> u64 {
    let lines = report["lines"].as_array().expect("a list");
    let line = lines.iter().find(|line| line["name"] == service).expect("a line");
    let count = line["long"]["count"].as_object().expect("a count");
    count.values().filter_map(Value::as_u64).sum()
}
