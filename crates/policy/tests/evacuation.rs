//! Tests of which evacuations are in force while the store fails, goes back and changes.

use std::sync::Arc;
use std::time::Duration;

use policy::evacuation::Change;
use policy::evacuation::Register;
use policy::evacuation::Request;
use proptest::prelude::*;

const GRACE: Duration = Duration::from_millis(2_200);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(centre: &str, revision: u64) -> Request {
    Request { centre: Arc::from(centre), revision }
}

/// Returns a register that has read the evacuations of `a` at revision 10 and of `b` at 11.
fn register() -> Register {
    let mut register = Register::new(GRACE);
    let changes = register.replace(vec![request("a", 10), request("b", 11)], 0, false, at(0));
    assert_eq!(show(&changes), "+a listed, +b listed");
    register
}

/// Formats changes, `+` for evacuations that begin.
fn show(changes: &[Change]) -> String {
    let sign = |change: &Change| if change.is_evacuated { '+' } else { '-' };
    let shown =
        |change: &Change| format!("{}{} {}", sign(change), change.centre, change.cause.name());
    changes.iter().map(shown).collect::<Vec<String>>().join(", ")
}

fn evacuated(register: &Register) -> String {
    register.evacuated().map(|centre| &**centre).collect::<Vec<&str>>().join(",")
}

/// An evacuation that the store no longer has would go on for ever, or end before its removal.
#[test]
fn an_evacuation_that_a_listing_lacks_or_a_change_removes_is_over() {
    let mut register = register();
    assert_eq!(show(&register.replace(vec![request("b", 11)], 0, false, at(500))), "-a missing");
    assert!(!register.is_evacuated("a") && register.is_evacuated("b"));
    let removed: Vec<Change> = register.remove("b", at(600)).into_iter().collect();
    assert_eq!(show(&removed), "-b removed");
    assert_eq!(register.remove("b", at(700)), None);
    assert!(register.is_empty());
    let added: Vec<Change> = register.add(request("b", 14)).into_iter().collect();
    assert_eq!(show(&added), "+b written");
    assert_eq!(register.add(request("b", 15)), None, "it is in force already");
}

/// A copy of the store may lack evacuations that operators have asked for.
#[test]
fn an_evacuation_that_a_restored_store_lacks_stays_until_operators_had_time_to_write_it_again() {
    let mut register = register();
    assert_eq!(show(&register.replace(Vec::new(), 1, false, at(1_000))), "");
    assert_eq!(show(&register.settle(at(3_199))), "");
    assert_eq!(evacuated(&register), "a,b");
    assert_eq!(register.undecided(), (2, 0));
    assert_eq!(register.add(request("a", 9)), None);
    assert_eq!(register.undecided(), (1, 0));
    assert_eq!(show(&register.settle(at(3_200))), "-b not written again");
    assert_eq!(show(&register.settle(at(60_000))), "");
    assert_eq!(evacuated(&register), "a");
}

/// A listing after an outage may come from a store that has not told yet that it was restored.
#[test]
fn an_evacuation_that_is_missing_after_an_outage_stays_for_the_grace_time() {
    let mut register = register();
    assert_eq!(show(&register.replace(vec![request("a", 10)], 0, true, at(1_000))), "");
    // Another listing without an outage, as after a cut watch, doesn't end the grace time.
    assert_eq!(show(&register.replace(vec![request("a", 10)], 0, false, at(1_100))), "");
    assert_eq!(evacuated(&register), "a,b");
    assert_eq!(show(&register.settle(at(3_300))), "-b not written again");
}

/// Operators can't write while the store is away, so the grace time must not end meanwhile.
#[test]
fn nothing_ends_while_the_store_is_lost() {
    let mut register = register();
    register.suspend();
    assert_eq!(show(&register.settle(at(600_000))), "");
    assert_eq!(show(&register.replace(vec![request("b", 11)], 1, true, at(600_000))), "");
    register.suspend();
    assert_eq!(show(&register.settle(at(900_000))), "");
    assert_eq!(evacuated(&register), "a,b");
    assert_eq!(show(&register.replace(vec![request("b", 11)], 1, false, at(900_000))), "");
    assert_eq!(show(&register.settle(at(902_199))), "");
    assert_eq!(show(&register.settle(at(902_200))), "-a not written again");
}

/// A copy of the store may have an evacuation that operators have cancelled since: in force again, it
/// would take capacity that they gave back.
#[test]
fn a_cancelled_evacuation_that_a_restored_store_has_again_is_held_for_the_grace_time() {
    let mut register = register();
    register.remove("a", at(1_000));
    let listed = || vec![request("a", 10), request("b", 11)];
    assert_eq!(show(&register.replace(listed(), 1, true, at(2_000))), "");
    assert_eq!(evacuated(&register), "b");
    assert_eq!(register.undecided(), (0, 1));
    // Operators remove it again.
    assert_eq!(register.remove("a", at(3_000)), None);
    assert_eq!(show(&register.settle(at(4_200))), "");
    assert_eq!(evacuated(&register), "b");
    // After another restore they don't, and the store's word counts.
    assert_eq!(show(&register.replace(listed(), 2, true, at(5_000))), "");
    assert_eq!(show(&register.replace(listed(), 2, false, at(5_500))), "");
    assert_eq!(show(&register.settle(at(7_200))), "+a not removed again");
    assert_eq!(evacuated(&register), "a,b");
}

/// An operator may evacuate a data centre anew just after a restore.
#[test]
fn a_request_that_is_not_the_cancelled_one_is_in_force_at_once() {
    let held = || {
        let mut register = register();
        register.remove("a", at(1_000));
        register.replace(vec![request("a", 10), request("b", 11)], 1, true, at(2_000));
        assert_eq!(evacuated(&register), "b");
        register
    };
    let mut register = held();
    let added: Vec<Change> = register.add(request("a", 12)).into_iter().collect();
    assert_eq!(show(&added), "+a written");
    let mut register = held();
    let listed = vec![request("a", 12), request("b", 11)];
    assert_eq!(show(&register.replace(listed, 1, false, at(2_100))), "+a listed");
    // Without a restore, what is listed was written after it was cancelled.
    let mut register = self::register();
    register.remove("a", at(1_000));
    let listed = vec![request("a", 10), request("b", 11)];
    assert_eq!(show(&register.replace(listed, 0, true, at(2_000))), "+a listed");
}

/// Cancellations must not be remembered without end.
#[test]
fn a_cancellation_that_is_older_than_any_copy_holds_nothing() {
    let mut register = register();
    register.remove("a", at(1_000));
    let listed = vec![request("a", 10), request("b", 11)];
    assert_eq!(show(&register.replace(listed, 1, true, at(61_000))), "+a listed");
}

/// What the store does.
#[derive(Debug, Clone)]
enum Step {
    /// Operators write or remove a key, and the gateway hears of it if it is in contact.
    Write(bool),
    /// The store comes back from a copy of this many writes ago, which the gateway hears next.
    Restore(usize),
    /// The gateway's contact breaks off, or it reads all keys.
    Cut,
    List(bool),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(Step::Write),
        (0_usize..3).prop_map(Step::Restore),
        Just(Step::Cut),
        any::<bool>().prop_map(Step::List),
        (0_u64..4_000).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Whatever happened, a gateway that is in contact for the grace time has what the store has.
    #[test]
    fn a_gateway_agrees_with_the_store_after_the_grace_time(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut register = Register::new(GRACE);
        let (mut now, mut restores, mut in_contact) = (at(0), 0, false);
        // The key of one data centre after each write, from the revision 0 on.
        let mut history: Vec<Option<u64>> = vec![None];
        let listed = |history: &[Option<u64>]| -> Vec<Request> {
            let last = history.last().copied().flatten();
            last.map(|revision| request("a", revision)).into_iter().collect()
        };
        for step in steps {
            match step {
                Step::Write(is_put) => {
                    let revision = history.len() as u64;
                    history.push(is_put.then_some(revision));
                    if in_contact && is_put {
                        register.add(request("a", revision));
                        prop_assert!(register.is_evacuated("a"));
                    } else if in_contact {
                        register.remove("a", now);
                        prop_assert!(!register.is_evacuated("a"));
                    }
                }
                Step::Restore(lost) => {
                    history.truncate(history.len().saturating_sub(lost).max(1));
                    restores += 1;
                    in_contact = false;
                    register.suspend();
                }
                Step::Cut => {
                    in_contact = false;
                    register.suspend();
                }
                Step::List(after_outage) => {
                    let was_evacuated = register.is_evacuated("a");
                    register.replace(listed(&history), restores, after_outage, now);
                    if after_outage && was_evacuated {
                        prop_assert!(register.is_evacuated("a"), "kept for the grace time");
                    }
                    in_contact = true;
                }
                Step::Wait(millis) => {
                    now += at(millis);
                    register.settle(now);
                }
            }
        }
        register.replace(listed(&history), restores, false, now);
        register.settle(now + GRACE);
        prop_assert_eq!(register.is_evacuated("a"), !listed(&history).is_empty());
    }
}
