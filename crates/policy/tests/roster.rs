//! Which holders of a model requests may go to: engines in, engines out.

use expect_test::expect;
use policy::roster::Roster;
use wire::Load;
use wire::Member;
use wire::member::Role;
use wire::member::State;

/// An engine, what it holds, and what the configuration assigns to it.
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

/// The engines that chats with model `a` may go to.
fn keepers(engines: &[Engine]) -> String {
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
    let keepers = roster.keepers("a", assigned);
    keepers.iter().map(|member| member.vm.as_str()).collect::<Vec<_>>().join(" ")
}

#[test]
fn an_engine_that_unloads_a_model_gets_no_chats_once_all_others_hold_it() {
    let engines: &[Engine] =
        &[("1", &["a", "b"], &["a"]), ("2", &["a"], &["a"]), ("3", &["a", "b"], &["b"])];
    expect!["1 2"].assert_eq(&keepers(engines));
}

#[test]
fn while_an_engine_still_loads_it_all_holders_serve() {
    let engines: &[Engine] =
        &[("1", &["a", "b"], &["a"]), ("2", &["b"], &["a"]), ("3", &["a", "b"], &["b"])];
    expect!["1 3"].assert_eq(&keepers(engines));
}

#[test]
fn without_a_plan_and_on_a_new_engine_what_is_held_is_served() {
    expect!["1 2"].assert_eq(&keepers(&[("1", &["a"], &[]), ("2", &["a"], &["b"])]));
    expect!["1 2"].assert_eq(&keepers(&[("1", &["a"], &["a"]), ("2", &["a"], &[])]));
}
