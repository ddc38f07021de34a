//! Contents of beats, failure detection, pulls and the speed at which updates spread.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "gossip/cuts.rs"]
mod cuts;
#[path = "gossip/spread.rs"]
mod spread;
#[path = "gossip/views.rs"]
mod views;

use std::time::Duration;

use policy::gossip::Budget;
use policy::gossip::Change;
use policy::gossip::Comparison;
use policy::gossip::Neighbours;
use policy::gossip::Reconciler;
use policy::gossip::Suspicion;
use policy::gossip::Updates;
use policy::gossip::digest;
use policy::gossip::neighbours::DEGREE;
use policy::gossip::reconciler;
use policy::gossip::updates;
use policy::roster::Roster;
use wire::Load;
use wire::Member;
use wire::member::Role;
use wire::member::State;

const START: Duration = Duration::ZERO;

fn after(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn member(vm: usize) -> Member {
    Member {
        vm: format!("vm-{vm:04}"),
        incarnation: 1,
        version: 1,
        role: Role::Agent,
        centre: format!("dc-{}", vm % 8),
        region: format!("r-{}", vm % 2),
        data: ([127, 0, 0, 1], 1).into(),
        control: ([127, 0, 0, 1], 2).into(),
        state: State::Live,
        revision: 0,
        holds: vec!["model".to_owned()],
        load: Load::default(),
    }
}

fn roster(own: usize, size: usize) -> Roster {
    let mut roster = Roster::new(member(own));
    for vm in 0..size {
        roster.merge_at(member(vm), START);
    }
    roster
}

fn vms(members: &[Member]) -> Vec<&str> {
    members.iter().map(|member| member.vm.as_str()).collect()
}

#[test]
fn updates_come_first_and_other_members_in_turn_within_the_budget() {
    let roster = roster(0, 20);
    let bytes = updates::size(&member(1));
    let mut budget = Budget::new(bytes * 2, bytes * 8, START);
    let mut updates = Updates::default();
    updates.record("vm-0009", Change::Down, 20, START);
    assert_eq!(vms(&updates.pick(&roster, &mut budget, START)), ["vm-0000", "vm-0009", "vm-0001"]);
    let second = updates.pick(&roster, &mut budget, START);
    assert_eq!(vms(&second), ["vm-0000", "vm-0009"], "the reserve is kept for updates");
    let later = updates.pick(&roster, &mut budget, after(1));
    assert_eq!(vms(&later), ["vm-0000", "vm-0009"]);
    let last = updates.pick(&roster, &mut budget, after(2));
    assert_eq!(vms(&last), ["vm-0000", "vm-0009", "vm-0002"]);
}

#[test]
fn an_update_is_sent_a_bounded_number_of_times() {
    let roster = roster(0, 20);
    let bytes = updates::size(&member(9));
    let mut updates = Updates::default();
    updates.record("vm-0009", Change::Down, 20, START);
    let mut budget = Budget::new(0, bytes * 100, START);
    let sent = (0..50).filter(|_| {
        let mut one = Budget::new(0, bytes, START);
        vms(&updates.pick(&roster, &mut one, START)).contains(&"vm-0009")
    });
    assert!(sent.count() < 10);
    assert_eq!(updates.pick(&roster, &mut budget, START).len(), 20);
}

#[test]
fn a_flapping_member_is_announced_as_down_at_once_but_as_up_seldom() {
    let roster = roster(0, 20);
    let mut updates = Updates::default();
    let is_sent = |updates: &mut Updates, seconds: u64| {
        let mut one = Budget::new(0, updates::size(&member(9)), START);
        vms(&updates.pick(&roster, &mut one, after(seconds))).contains(&"vm-0009")
    };
    updates.record("vm-0009", Change::Down, 20, START);
    assert!(is_sent(&mut updates, 0));
    updates.record("vm-0009", Change::Up, 20, after(1));
    assert!(is_sent(&mut updates, 1), "up for the first time");
    updates.record("vm-0009", Change::Down, 20, after(2));
    assert!(is_sent(&mut updates, 2));
    updates.record("vm-0009", Change::Up, 20, after(3));
    assert!(!is_sent(&mut updates, 3), "up again too soon");
    updates.record("vm-0009", Change::Down, 20, after(4));
    assert!(!is_sent(&mut updates, 4), "other processes still know it as down");
    updates.record("vm-0009", Change::Up, 20, after(5));
    assert!(!is_sent(&mut updates, 10));
    assert!(is_sent(&mut updates, 11));
}

#[test]
fn a_member_that_joins_is_announced_at_once_when_it_accepts_work() {
    let roster = roster(0, 20);
    let mut updates = Updates::default();
    let one = || Budget::new(0, updates::size(&member(9)), START);
    let is_sent = |updates: &mut Updates, one: &mut Budget, seconds| {
        vms(&updates.pick(&roster, one, after(seconds))).contains(&"vm-0009")
    };
    let starting = Member { state: State::Starting, ..member(9) };
    updates.record("vm-0009", Change::between(None, &starting), 20, START);
    assert!(is_sent(&mut updates, &mut one(), 0));
    updates.record("vm-0009", Change::between(Some(&starting), &member(9)), 20, after(1));
    assert!(is_sent(&mut updates, &mut one(), 1), "it accepts work now");
    let more = Member { holds: vec!["another".to_owned()], ..member(9) };
    updates.record("vm-0009", Change::between(Some(&member(9)), &more), 20, after(2));
    assert!(is_sent(&mut updates, &mut one(), 2), "each announcement has the latest description");
}

#[test]
fn a_load_change_is_not_sent_as_an_update_and_a_revision_only_in_a_small_fleet() {
    let before = member(1);
    let busy = Member { load: Load { running: 3, ..Load::default() }, ..before.clone() };
    assert_eq!(Change::between(Some(&before), &busy), Change::Minor);
    let newer = Member { revision: 9, ..before.clone() };
    assert_eq!(Change::between(Some(&before), &newer), Change::Revision);
    let is_sent = |known: usize| {
        let mut updates = Updates::default();
        updates.record("vm-0009", Change::Revision, known, START);
        let mut one = Budget::new(0, updates::size(&member(9)), START);
        vms(&updates.pick(&roster(0, 20), &mut one, START)).contains(&"vm-0009")
    };
    assert!(is_sent(100) && !is_sent(1560));
    let leaving = Member { state: State::Leaving, ..before.clone() };
    assert_eq!(Change::between(Some(&before), &leaving), Change::Down);
    let empty = Member { holds: Vec::new(), ..before.clone() };
    assert_eq!(Change::between(Some(&before), &empty), Change::Down);
    let restarted = Member { incarnation: 2, ..before.clone() };
    assert_eq!(Change::between(Some(&before), &restarted), Change::Up);
}

#[test]
fn a_member_is_unreachable_only_if_it_does_not_refute_in_time() {
    let mut suspicion = Suspicion::default();
    suspicion.record_failure(&member(1), 3, after(1));
    assert!(suspicion.pick(9).is_empty(), "one failure raises no suspicion");
    suspicion.record_failure(&member(1), 3, after(2));
    let suspects = suspicion.pick(9);
    assert_eq!(suspects.len(), 1);
    assert!(suspicion.unreachable(10, after(6)).is_empty());
    assert_eq!(suspicion.unreachable(10, after(7)), ["vm-0001"]);

    let mut other = Suspicion::default();
    let refuted = Member { version: 2, ..member(1) };
    assert!(
        !other.record_report(&suspects[0], &refuted, 3, after(2)),
        "an old suspicion is refuted"
    );
    assert!(other.record_report(&suspects[0], &member(1), 3, after(2)));
    assert!(
        !other.record_report(&suspects[0], &member(1), 3, after(3)),
        "only the first report is new"
    );
    let unreachable = other.unreachable(10, after(20));
    assert!(!other.refute(&member(1)), "an old description refutes nothing");
    assert_eq!(other.unreachable(10, after(20)), unreachable);
    other.pick(9);
    other.pick(9);
    other.pick(9);
    assert_eq!(other.pick(9), suspects, "it is repeated for processes that missed it");
    assert!(other.refute(&refuted));
    assert!(other.unreachable(10, after(20)).is_empty());
}

#[test]
fn a_process_that_is_cut_off_marks_no_member_unreachable() {
    let mut suspicion = Suspicion::default();
    for vm in 1..8 {
        suspicion.record_failure(&member(vm), 3, START);
        suspicion.record_failure(&member(vm), 3, START);
    }
    assert!(suspicion.unreachable(10, after(9)).is_empty());
    assert_eq!(suspicion.unreachable(20, after(9)).len(), 7);
}

#[test]
fn an_unreachable_member_gets_no_work_until_it_is_in_contact_or_described_anew() {
    let mut roster = roster(0, 3);
    roster.mark_unreachable("vm-0001");
    let holders = |roster: &Roster| roster.holders("model").count();
    assert_eq!(holders(&roster), 2);
    assert!(!roster.merge_at(member(1), after(1)), "an old description is no sign of life");
    assert_eq!(holders(&roster), 2);
    assert!(roster.merge_at(Member { version: 2, ..member(1) }, after(1)));
    assert_eq!(holders(&roster), 3);
    roster.mark_unreachable("vm-0001");
    roster.touch("vm-0001", after(2));
    assert_eq!(holders(&roster), 3);
}

#[test]
fn contact_with_an_unreachable_data_centre_marks_it_reachable_but_a_restarted_member_does_not() {
    let mut roster = roster(0, 40);
    let centre = ["vm-0003", "vm-0011", "vm-0019", "vm-0027", "vm-0035"];
    centre[..2].iter().for_each(|vm| roster.mark_unreachable(vm));
    assert!(roster.heal_partition("vm-0003", 1).is_empty(), "most of it was reachable");
    centre.iter().for_each(|vm| roster.mark_unreachable(vm));
    roster.mark_unreachable("vm-0004");
    assert!(roster.heal_partition("vm-0003", 2).is_empty(), "another incarnation");
    assert_eq!(roster.heal_partition("vm-0003", 1), centre);
    assert!(centre.iter().all(|vm| roster.is_reachable(vm)));
    assert!(!roster.is_reachable("vm-0004"), "of another data centre");
}

#[test]
fn a_removed_member_comes_back_only_with_a_newer_description_or_contact() {
    let mut roster = roster(0, 3);
    roster.remove("vm-0001");
    assert!(!roster.merge_at(member(1), after(1)), "a peer that lags behind describes it");
    assert!(roster.merge_at(Member { version: 2, ..member(1) }, after(1)));
    roster.remove("vm-0001");
    roster.clear_tombstone("vm-0001");
    assert!(roster.merge_at(member(1), after(1)));
}

#[test]
fn neighbours_are_few_and_change_slowly_and_an_unreachable_one_is_tried_at_times() {
    let mut roster = roster(0, 100);
    let mut neighbours = Neighbours::new("vm-0000");
    neighbours.refresh(&roster, 1, START);
    let first = neighbours.all().to_vec();
    assert_eq!(first.len(), DEGREE);
    neighbours.refresh(&roster, 2, after(9));
    assert_eq!(neighbours.all(), first);
    neighbours.refresh(&roster, 3, after(10));
    assert_eq!(neighbours.all()[..DEGREE - 1], first[1..]);
    for vm in 1..100 {
        roster.mark_unreachable(&format!("vm-{vm:04}"));
    }
    neighbours.refresh(&roster, 4, after(15));
    assert!(neighbours.all().is_empty());
    neighbours.refresh(&roster, 5, after(20));
    assert!(neighbours.next_peer().is_some());
}

#[test]
fn a_process_that_knows_no_member_pulls_all_and_then_nothing() {
    let known = roster(0, 250);
    let mut empty = Roster::new(member(300));
    let pull = |own: &Roster| {
        let theirs = digest::differing(&known, &digest::buckets(own));
        digest::members(&known, &digest::missing(own, &theirs, 100))
    };
    for left in [150, 50, 0] {
        for member in pull(&empty) {
            assert!(empty.merge_at(member, START));
        }
        assert_eq!(empty.members().len(), 251 - left);
    }
    assert_eq!(pull(&empty), []);
}

#[test]
fn hashes_cover_what_decides_on_placement_and_only_differing_members_are_pulled() {
    let one = roster(0, 250);
    let mut other = roster(1, 250);
    assert_eq!(digest::whole(&one), digest::whole(&other));
    let load = Load { running: 3, ..Load::default() };
    other.merge_at(Member { version: 2, load, revision: 9, ..member(7) }, START);
    other.merge_at(Member { incarnation: 0, version: 0, ..member(251) }, START);
    assert_eq!(digest::whole(&one), digest::whole(&other));
    let changes = [
        Member { version: 3, state: State::Leaving, ..member(7) },
        Member { version: 4, holds: Vec::new(), ..member(7) },
        Member { incarnation: 2, ..member(7) },
    ];
    for change in changes {
        other.merge_at(change.clone(), START);
        assert_ne!(digest::whole(&one), digest::whole(&other));
        let theirs = digest::differing(&other, &digest::buckets(&one));
        assert!(theirs.len() < 50, "only the members of one bucket");
        let missing = digest::missing(&one, &theirs, 100);
        assert_eq!(digest::members(&other, &missing), [change]);
    }
}

#[test]
fn a_lasting_difference_is_pulled_and_at_once_where_many_members_change() {
    let view = |differs, theirs, pending| Comparison { differs, own: 100, theirs, pending };
    let mut reconciler = Reconciler::new(START);
    let due = |reconciler: &mut Reconciler, comparison| {
        reconciler.pull_limit(comparison, START).is_some()
    };
    assert!(!due(&mut reconciler, view(true, 100, 1)));
    assert!(!due(&mut reconciler, view(true, 100, 1)));
    assert!(!due(&mut reconciler, view(false, 100, 1)), "the update has arrived meanwhile");
    assert!(!due(&mut reconciler, view(true, 100, 1)));
    assert!(!due(&mut reconciler, view(true, 100, 1)));
    assert!(due(&mut reconciler, view(true, 100, 1)));
    reconciler.record_pull(10, 1);
    assert!(!due(&mut reconciler, view(true, 100, 1)));
    assert!(due(&mut reconciler, view(true, 200, 1)), "the peer knows many more");
    reconciler.record_pull(10, 1);
    assert!(due(&mut reconciler, view(true, 100, 50)), "many updates are pending");
    reconciler.record_pull(10, 100);
    assert!(due(&mut reconciler, view(true, 100, 1)), "the last pull brought many");
}

#[test]
fn pulls_are_bounded_in_rate_and_in_burst() {
    let mut reconciler = Reconciler::new(START);
    let much = Comparison { differs: true, own: 1, theirs: 1560, pending: 0 };
    let mut pulled = 0;
    while let Some(most) = reconciler.pull_limit(much, START) {
        reconciler.record_pull(0, most);
        pulled += most * reconciler::MEMBER_BYTES;
    }
    assert!(pulled <= reconciler::BURST, "{pulled}");
    let most = reconciler.pull_limit(much, after(10)).unwrap();
    assert!(most * reconciler::MEMBER_BYTES <= 11 * reconciler::RATE, "{most}");
}
