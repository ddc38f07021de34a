//! Tests of the admission of memory under crowds of large and stalled bodies.

use std::time::Duration;

use policy::memory::Account;
use policy::memory::Decision;
use policy::memory::Id;
use policy::memory::Limits;
use policy::memory::Purpose;

const MB: usize = 1024 * 1024;

/// Memory of the smallest machine.
const SMALLEST: usize = 112 * MB;

/// Longest body that the configuration allows, and longest of most clients.
const LARGE: usize = 4 * MB;
const SMALL: usize = 72_000;

const START: Duration = Duration::from_secs(100);
const LATER: Duration = Duration::from_secs(103);

fn account() -> Account {
    Account::new(Limits::of_memory(SMALLEST))
}

/// Opens a reservation and asks for bytes.
fn reserve(account: &mut Account, bytes: usize, now: Duration) -> (Id, Decision) {
    let id = account.open(Purpose::Request, now);
    let decision = account.grow(id, bytes, now);
    if decision == Decision::Refused {
        account.release(id);
    }
    (id, decision)
}

/// Reserves for large bodies until one is refused; returns their ids.
fn fill(account: &mut Account) -> Vec<Id> {
    let mut ids = Vec::new();
    loop {
        let (id, decision) = reserve(account, LARGE, START);
        if decision == Decision::Refused {
            return ids;
        }
        ids.push(id);
    }
}

/// Guards against a part for bodies that leaves no room for the program and its sockets, or for a
/// single body of the largest size.
#[test]
fn bodies_take_half_of_the_memory() {
    for memory in [112, 160, 260, 512].map(|megabytes| megabytes * MB) {
        let mut account = Account::new(Limits::of_memory(memory));
        let ids = fill(&mut account);
        assert!(!ids.is_empty());
        assert!(account.requests() <= memory / 2, "{} of {memory}", account.requests());
    }
}

/// Guards against connections that the descriptors of the known machines allow and memory doesn't.
#[test]
fn the_known_machines_keep_their_connections() {
    for (megabytes, descriptors) in [(112, 2_870), (260, 4_100), (512, 8_192)] {
        let limits = Limits::of_memory(megabytes * MB);
        assert!(limits.connections >= descriptors / 2, "{megabytes} MB");
    }
}

/// Guards against large bodies that take the room of small ones while they arrive.
#[test]
fn small_bodies_find_room_beside_large_ones_that_arrive() {
    let mut account = account();
    fill(&mut account);
    for _ in 0..400 {
        let (id, decision) = reserve(&mut account, SMALL, START);
        assert_ne!(decision, Decision::Refused);
        account.finish(id);
    }
}

/// Guards against a crowd that stops short of its end and keeps all the memory.
#[test]
fn stalled_bodies_give_way_to_a_large_one() {
    let mut account = account();
    let ids = fill(&mut account);
    for id in &ids[1..] {
        account.record_progress(*id, LATER);
    }
    let (_, decision) = reserve(&mut account, LARGE, LATER);
    assert_eq!(decision, Decision::Granted(vec![ids[0]]));
    assert_eq!(reserve(&mut account, LARGE, LATER).1, Decision::Refused);
}

/// Guards against a crowd of small bodies that stops short of its end.
#[test]
fn stalled_small_bodies_give_way() {
    let mut account = account();
    while reserve(&mut account, SMALL, START).1 != Decision::Refused {}
    let (_, decision) = reserve(&mut account, SMALL, LATER);
    assert!(matches!(decision, Decision::Granted(victims) if victims.len() == 1));
}

/// Guards against the loss of requests that may run already.
#[test]
fn complete_bodies_are_not_evicted() {
    let mut account = account();
    for id in fill(&mut account) {
        account.finish(id);
    }
    assert_eq!(reserve(&mut account, LARGE, LATER).1, Decision::Refused);
}

/// Guards against an eviction that does not help.
#[test]
fn nothing_is_evicted_for_a_body_that_does_not_fit() {
    let mut account = account();
    let ids = fill(&mut account);
    let before = account.requests();
    assert_eq!(reserve(&mut account, 100 * MB, LATER).1, Decision::Refused);
    assert_eq!(account.requests(), before);
    assert!(!ids.is_empty());
}

/// Guards against responses without end that take the room of bodies.
#[test]
fn responses_are_bounded_together() {
    let mut account = account();
    let id = account.open(Purpose::Response, START);
    while account.grow(id, MB, START) != Decision::Refused {}
    assert!(account.responses() <= SMALLEST / 4);
    assert!(matches!(reserve(&mut account, LARGE, START).1, Decision::Granted(_)));
}

/// Guards against a response that is lost after its request ran, since bodies arrive.
#[test]
fn large_unfinished_bodies_give_way_to_responses() {
    let mut account = account();
    fill(&mut account);
    let id = account.open(Purpose::Response, START);
    let decision = account.grow(id, 16 * MB, START);
    assert!(matches!(decision, Decision::Granted(victims) if !victims.is_empty()));
}

/// Guards against bytes that stay counted after their release, or are released twice.
#[test]
fn all_bytes_are_given_back() {
    let mut account = account();
    let ids = fill(&mut account);
    let id = account.open(Purpose::Response, START);
    account.charge(id, 100);
    account.shrink(id, 40);
    assert_eq!(account.responses(), 60);
    for id in ids.into_iter().chain([id]) {
        account.release(id);
        account.release(id);
    }
    assert_eq!((account.requests(), account.responses()), (0, 0));
}
