//! Tests of the plans and faults for given intents.

#![allow(clippy::unwrap_used)]

use config::Basis;
use config::Document;
use config::Engine;
use config::Plan;
use config::check;
use config::plan;
use expect_test::expect;

const SOFIA: &str = include_str!("../../../deploy/sofia/intent.toml");
const TALLINN: &str = include_str!("../../../deploy/tallinn/intent.toml");

fn engine(vm: &str, centre: &str, holds: &[&str]) -> Engine {
    let holds = holds.iter().map(|&held| held.to_owned()).collect();
    Engine { vm: vm.to_owned(), centre: centre.to_owned(), holds }
}

fn plan(wanted: Document, current: &Document, base: u64, fleet: &[Engine]) -> Plan {
    plan::plan(wanted, &Basis { current, base, fleet, demand: None, operator: "ana" })
}

fn sofia_fleet() -> Vec<Engine> {
    let mut fleet: Vec<Engine> =
        (0..10).map(|n| engine(&format!("e{n:02}"), &format!("s{}", n % 3), &[])).collect();
    fleet.push(engine("p0", "s0", &["registry"]));
    fleet
}

#[test]
fn the_first_plan_of_sofia() {
    let wanted = check::parse(SOFIA).unwrap();
    let plan = plan(wanted, &Document::default(), 0, &sofia_fleet());
    expect![[r#"
        plan 1ae012399ed9 on revision 0
        changes:
          add rank interactive
          add rank standard
          add rank batch
          add service archive
          add service brief
          add service classify
          add service outline
          add service registry
          add account adjudicators
          add account archive-team
          add account clerks
          add account coaches-north
          add account coaches-south
          add account school-1
          add account school-2
          add account school-3
          add account school-4
          add account school-5
          add engine e00: holds motion-large
          add engine e01: holds motion-large
          add engine e02: holds motion-large
          add engine e03: holds motion-large
          add engine e04: holds motion-large
          add engine e05: holds motion-large
          add engine e06: holds motion-large
          add engine e07: holds motion-large
          add engine e08: holds motion-small
          add engine e09: holds motion-small
          change limit fleet: accelerators 0 to 10
        engines:
          motion-large: 8 model engines in place of 0: 3 in s0, 3 in s1, 2 in s2
          motion-small: 2 model engines in place of 0: 1 in s0, 1 in s2
          registry: 1 plain engine: 1 in s0
        budget: 10 of 10 accelerators used, 10 model engines found
        effects:
          rank interactive: keeps 20% of each of 2 model engines, 82.6% of all worth, objective 95%
          rank standard: keeps 20% of each of 8 model engines, 16.5% of all worth, objective 95%
          rank batch: keeps 10% of each of 8 model engines, 0.8% of all worth, objective 95%
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
          registry would be on one engine only: its services stop if that engine fails; add engines or raise the budget
    "#]]
    .assert_eq(&plan.to_string());
}

#[test]
fn a_plan_does_not_depend_on_the_order_of_the_fleet() {
    let wanted = check::parse(SOFIA).unwrap();
    let mut fleet = sofia_fleet();
    let first = plan(wanted.clone(), &Document::default(), 0, &fleet);
    fleet.reverse();
    let second = plan(wanted, &Document::default(), 0, &fleet);
    assert_eq!(first.document, second.document);
}

#[test]
fn a_lost_engine_changes_no_other_assignment() {
    let wanted = check::parse(SOFIA).unwrap();
    let mut fleet = sofia_fleet();
    let first = plan(wanted.clone(), &Document::default(), 0, &fleet).document;
    fleet.remove(4);
    let second = plan(wanted, &first, 1, &fleet);
    let changes: Vec<String> = second.changes.iter().map(ToString::to_string).collect();
    expect!["remove engine e04: holds motion-large"].assert_eq(&changes.join("\n"));
}

#[test]
fn a_plan_lists_the_changed_fields_of_each_object() {
    let wanted = check::parse(SOFIA).unwrap();
    let first = plan(wanted, &Document::default(), 0, &sofia_fleet()).document;
    let text =
        SOFIA.replace("worth = 20", "worth = 30").replace("load_bound = 1.25", "load_bound = 1.5");
    let text = text.replacen("\"school-5\"]", "\"coaches-north\"]", 1);
    let mut wanted = check::parse(&text.replacen("weight = 4", "weight = 5", 1)).unwrap();
    wanted.ranks.swap(0, 1);
    let changes = plan(wanted, &first, 1, &sofia_fleet()).changes;
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    expect![[r#"
        change rank standard: worth 20 to 30
        change rank order: standard, interactive, batch
        change service classify: serves 1 accounts more and 1 no longer
        change account adjudicators: weight 4 to 5
        change limit fleet: load bound 1.25 to 1.5"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn after_a_restore_revisions_continue_from_the_one_in_force() {
    let wanted = check::parse(SOFIA).unwrap();
    let current = Document { revision: 7, ..Document::default() };
    let plan = plan(wanted, &current, 3, &sofia_fleet());
    assert_eq!((plan.base, plan.document.revision), (3, 8));
    let warnings: Vec<String> = plan.warnings.iter().map(ToString::to_string).collect();
    expect![[r#"
        registry would be on one engine only: its services stop if that engine fails; add engines or raise the budget
        the key-value service shows revision 3, but 7 is in force: it was restored to an old state; confirming this plan puts it right"#]].assert_eq(&warnings.join("\n"));
}

#[test]
fn the_sample_intents_have_no_faults() {
    assert!(check::parse(SOFIA).is_ok());
    assert!(check::parse(TALLINN).is_ok());
}

#[test]
fn a_budget_below_the_fleet_size_gives_warnings() {
    let wanted = check::parse(&SOFIA.replace("accelerators = 10", "accelerators = 1")).unwrap();
    let plan = plan(wanted, &Document::default(), 0, &sofia_fleet());
    let warnings: Vec<String> = plan.warnings.iter().map(ToString::to_string).collect();
    expect![[r#"
        10 model engines stand against 1 accelerators in the budget: the rest stays unassigned; raise budget.accelerators or give VMs back
        service classify would be refused, as no engine would hold motion-small: raise the budget or check the VM list
        rank interactive keeps nothing of its 20%, as no engine would hold a model of its services: raise the budget or check the VM list
        motion-large would be on one engine only: its services stop if that engine fails; add engines or raise the budget
        registry would be on one engine only: its services stop if that engine fails; add engines or raise the budget"#]].assert_eq(&warnings.join("\n"));
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = r#"
[limit]
load_bound = 0.5

[[rank]]
name = "live"
first_token_ms = 370
token_gap_ms = 71
patience_ms = 100
worth = 0

[[service]]
name = "classify"
rank = "lively"
accounts = ["clerks", "nobody"]

[[account]]
name = "clerks"
tokens = ["my-secret-token"]

[[account]]
name = "clerks"
tokens = []
"#;
    let faults = check::parse(text).unwrap_err();
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    expect![[r#"
        limit.load_bound: 0.5 is out of range: give a multiple from 1.0 to 10.0
        line 6: rank.patience_ms: a request would be refused before its first token is due: give at least first_token_ms
        line 6: rank.worth: a rank that is worth nothing would never be planned for: give at least 1
        line 13: service.model: a service has either a model or a pool: give exactly one of model and pool
        line 14: service.rank: rank "lively" is not declared: use one of: live
        line 15: service.accounts: account "nobody" is not declared: declare it under [[account]] or take it out
        line 19: account.tokens: this is no SHA-256 hash; a token itself must not stand here: put in what `lycheeknot intent hash-token` prints
        line 22: account.name: "clerks" is declared twice: keep one of them"#]].assert_eq(&lines.join("\n"));
}

#[test]
fn an_unknown_key_is_a_fault_with_its_line() {
    let faults = check::parse("[budget]\naccelerators = 1\n\n[bugdet]\n").unwrap_err();
    expect!["line 4: intent: unknown field `bugdet`, expected one of `budget`, `limit`, `rank`, `service`, `account`: see docs/INTENTS.md for the keys"].assert_eq(&faults[0].to_string());
}
