//! Which holders of a model get requests while engines load and unload it.

use expect_test::expect;
use policy::roster::Roster;
use wire::Load;
use wire::Member;
use wire::member::Role;
use wire::member::State;

/// An engine's VM, the models that it holds and those that the configuration assigns to it.
type Engine = (&'static str, &'static [&'static str], &'static [&'static str]);

fn member(vm: &str, holds: &[&str]) -> Member {
    Member {
        vm: vm.to_owned(),
        incarnation: 1,
        version: 1,
        role: Role::Agent,
        centre: "dc".to_owned(),
        region: "r".to_owned(),
        data: ([127, 0, 0, 1], 1).into(),
        control: ([127, 0, 0, 1], 2).into(),
        state: State::Live,
        revision: 0,
        holds: holds.iter().map(|&model| model.to_owned()).collect(),
        load: Load::default(),
    }
}

/// Returns the VMs of the engines to which chats with model `a` may be sent.
fn eligible(engines: &[Engine]) -> String {
    let mut roster = Roster::new(Member { role: Role::Entry, ..member("0", &[]) });
    for (vm, holds, _) in engines {
        roster.merge(member(vm, holds));
    }
    let owned = |models: &[&str]| models.iter().map(|&model| model.to_owned()).collect();
    let assigned: Vec<(&str, Vec<String>)> =
        engines.iter().map(|(vm, _, assigned)| (*vm, owned(assigned))).collect();
    let assigned = |vm: &str| {
        let entry = assigned.iter().find(|(known, _)| *known == vm);
        entry.map_or(&[][..], |(_, models)| models.as_slice())
    };
    let holders = roster.eligible_holders("a", assigned);
    holders.iter().map(|member| member.vm.as_str()).collect::<Vec<_>>().join(" ")
}

#[test]
fn an_engine_about_to_unload_a_model_gets_no_chats_once_all_assigned_engines_hold_it() {
    let engines: &[Engine] =
        &[("1", &["a", "b"], &["a"]), ("2", &["a"], &["a"]), ("3", &["a", "b"], &["b"])];
    expect!["1 2"].assert_eq(&eligible(engines));
}

#[test]
fn all_holders_get_chats_while_an_assigned_engine_still_loads_the_model() {
    let engines: &[Engine] =
        &[("1", &["a", "b"], &["a"]), ("2", &["b"], &["a"]), ("3", &["a", "b"], &["b"])];
    expect!["1 3"].assert_eq(&eligible(engines));
}

#[test]
fn holders_get_chats_if_the_model_or_the_engine_has_no_assignment() {
    expect!["1 2"].assert_eq(&eligible(&[("1", &["a"], &[]), ("2", &["a"], &["b"])]));
    expect!["1 2"].assert_eq(&eligible(&[("1", &["a"], &["a"]), ("2", &["a"], &[])]));
}
