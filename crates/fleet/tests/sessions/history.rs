//! Operators who look back, go back, race and read reports.

use std::process::Command;
use std::thread;

use expect_test::expect;
use fleet::Binaries;
use fleet::Chat;
use serde_json::Value;
use standins::engine::Message;

use crate::scene::Scene;
use crate::scene::sample;
use crate::show::plan_name;

/// Rounds of two racing confirms.
const ROUNDS: u64 = 25;
/// Exit codes of a confirm that is applied and of one that lost.
const APPLIED: i32 = 0;
const SUPERSEDED: i32 = 3;
/// Requests before a report.
const REQUESTS: u64 = 6;

#[ntex::test]
async fn operators_look_back_and_go_back() {
    let scene = Scene::bare().await;
    let text = std::fs::read_to_string(sample()).expect("the file");
    let first = scene.write("first.toml", &text);
    let second = scene.write("second.toml", &text.replace("worth = 20", "worth = 30"));
    let plans: Vec<String> = [first, second].iter().map(|file| confirmed(&scene, file)).collect();
    let rollback = scene.operate(&["rollback", "1"]);
    let back = plan_name(&rollback).to_owned();
    let shown = |text: &str| {
        let text = text.replace(&plans[0], "FIRST").replace(&plans[1], "SECOND");
        text.replace(&back, "BACK")
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
    .assert_eq(&shown(&scene.operate(&["confirm", &back, "--wait", "10"])));
    expect![[r#"
        $ lycheeknot history --last 2
        revision 3 at TIME by demo, plan BACK on 2
          change rank standard: worth 30 to 20
        revision 2 at TIME by demo, plan SECOND on 1
          change rank standard: worth 20 to 30
        exit 0
    "#]]
    .assert_eq(&shown(&scene.operate(&["history", "--last", "2"])));
    expect![[r#"
        $ lycheeknot rollback 77
        lycheeknot: the document of revision 77 isn't kept: `lycheeknot history` shows the revisions; the last 200 can be rolled back to
        exit 1
    "#]].assert_eq(&scene.operate(&["rollback", "77"]));
    expect![[r#"
        $ lycheeknot plan
        lycheeknot: nothing says what to plan: name an intent file, or give --demand to share engines out anew for the intent in force
        exit 2
    "#]].assert_eq(&scene.operate(&["plan"]));
    expect![[r#"
        $ lycheeknot report demand
        lycheeknot: no entry counted a request within the last hour, so there is no demand to follow: plan without --demand
        exit 1
    "#]].assert_eq(&scene.operate(&["report", "demand"]));
}

#[ntex::test]
async fn of_two_racing_confirms_exactly_one_wins_each_round() {
    let scene = Scene::bare().await;
    let text = std::fs::read_to_string(sample()).expect("the file");
    let mut seen = revisions(&scene);
    for round in 0..ROUNDS {
        let plans: Vec<String> = [0, 1]
            .iter()
            .map(|racer| {
                let worth = format!("worth = {}", 1000 + 2 * round + racer);
                let file = scene.write("race.toml", &text.replace("worth = 20", &worth));
                plan_name(&scene.operate(&["plan", &file])).to_owned()
            })
            .collect();
        let mut codes = raced(&scene, &plans);
        codes.sort_unstable();
        assert_eq!(codes, [APPLIED, SUPERSEDED], "round {round}");
        let status = json(&scene, &["status"]);
        assert_eq!(status["confirmed"], round + 1, "each round counts once");
        let now = revisions(&scene);
        let is_higher = |(before, now): (&u64, &u64)| now >= before;
        assert!(seen.iter().zip(&now).all(is_higher), "round {round}: {seen:?} {now:?}");
        seen = now;
    }
    let history = json(&scene, &["history", "--last", "100"]);
    let confirms = history["confirms"].as_array().expect("a list");
    assert_eq!(confirms.len() as u64, ROUNDS);
}

#[ntex::test]
async fn a_report_tells_restarted_and_missing_entries_from_idle_ones() {
    let mut scene = Scene::start().await;
    for entry in 0..2 {
        for n in 0..REQUESTS {
            let message = vec![Message::new("user", &format!("motion {n}"))];
            let chat = Chat::whole("classify", message, 2);
            let answer = scene.caller("clerks").chat(scene.entry(entry), &chat).await;
            assert!(answer.answer().is_some(), "{answer:?}");
        }
    }
    let file = scene.fleet.files().join("burn.svg").display().to_string();
    let report = json(&scene, &["report", "burn", "--plot", &file]);
    assert_eq!(names(&report["counted"]), ["s1-entry-1", "s2-entry-1"]);
    assert_eq!(report["restarted"].as_array().map(Vec::len), Some(2), "both are young");
    let both = total(&report, "classify");
    assert!(both >= 2 * REQUESTS, "{both}");
    assert!(std::fs::read_to_string(&file).expect("the picture").starts_with("<svg"));
    scene.fleet.entries[1].process.kill();
    let report = json(&scene, &["report"]);
    assert_eq!(names(&report["missing"]), ["s2-entry-1"]);
    let one = total(&report, "classify");
    assert!(one >= REQUESTS && one < both, "{one} of {both}");
    let demand = json(&scene, &["report", "demand"]);
    assert_eq!(names(&demand["missing"]), ["s2-entry-1"]);
    let plan = json(&scene, &["plan", "--demand"]);
    let warnings = plan["warnings"].as_array().expect("a list");
    let partial = warnings.iter().find_map(|warning| warning.get("partial")).expect("a warning");
    assert_eq!(names(&partial["missing"]), ["s2-entry-1"]);
}

/// Plans an intent, confirms it everywhere and gives the plan's name.
fn confirmed(scene: &Scene, file: &str) -> String {
    let plan = plan_name(&scene.operate(&["plan", file])).to_owned();
    let confirm = scene.operate(&["confirm", &plan, "--wait", "30"]);
    assert!(confirm.ends_with("exit 0\n"), "{confirm}");
    plan
}

/// Confirms all plans at the same time and gives the exit codes.
fn raced(scene: &Scene, plans: &[String]) -> Vec<i32> {
    let program = Binaries::current().program("lycheeknot").expect("the program is built");
    let profile = scene.fleet.operator.profile();
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

/// The revision at each process, in the order of VMs.
fn revisions(scene: &Scene) -> Vec<u64> {
    let status = json(scene, &["status"]);
    let members = status["status"]["members"].as_array().expect("a list");
    members.iter().filter_map(|member| member["revision"].as_u64()).collect()
}

fn json(scene: &Scene, args: &[&str]) -> Value {
    serde_json::from_str(&scene.fleet.operator.run(args).expect("exit 0")).expect("JSON")
}

fn names(list: &Value) -> Vec<&str> {
    list.as_array().expect("a list").iter().filter_map(Value::as_str).collect()
}

/// Requests of a service in the long window of a report.
fn total(report: &Value, service: &str) -> u64 {
    let lines = report["lines"].as_array().expect("a list");
    let line = lines.iter().find(|line| line["name"] == service).expect("a line");
    let count = line["long"]["count"].as_object().expect("a count");
    count.values().filter_map(Value::as_u64).sum()
}
