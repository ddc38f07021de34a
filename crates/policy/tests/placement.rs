//! Invariants of placement: the order of engines, the load bound, and the tables of
//! spilled chats and reported loads.

use std::time::Duration;

use policy::candidate::Candidate;
use policy::candidate::Distance;
use policy::candidate::Loads;
use policy::candidate::without_request;
use policy::placement;
use policy::placement::Bounded;
use policy::placement::Kind;
use policy::placement::Location;
use policy::placement::Locations;
use policy::placement::Placement;
use policy::placement::Query;
use policy::placement::Rendezvous;
use policy::placement::Spill;
use policy::placement::Spills;
use policy::placement::fingerprint;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::Load;
use wire::Mean;
use wire::notes::Note;

const LOCATION: Location = Location { engine: 1, home: 2 };

/// Creates candidates from their slots and requests; every third is in the entry's
/// data centre.
fn candidates(loads: &[(u32, u32)]) -> Vec<Candidate> {
    let candidate = |(index, load): (usize, &(u32, u32))| Candidate {
        engine: format!("engine-{index}"),
        slots: load.0,
        requests: load.1,
        distance: if index % 3 == 0 { Distance::Centre } else { Distance::Region },
    };
    loads.iter().enumerate().map(candidate).collect()
}

fn mean(candidates: &[Candidate]) -> Option<Mean> {
    let slots: u32 = candidates.iter().map(|candidate| candidate.slots).sum();
    let requests: u32 = candidates.iter().map(|candidate| candidate.requests).sum();
    let per_slot = requests as f32 / slots as f32;
    Some(Mean { per_slot, weight: candidates.len() as f32, age: Duration::ZERO })
}

fn query(chat: Option<u64>) -> Query {
    Query {
        chat,
        last: None,
        mean: None,
        bound: 1.25,
        is_first_turn: false,
        can_try_full: false,
        seed: 7,
    }
}

/// The slots and requests of each engine.
fn fleet() -> impl Strategy<Value = Vec<(u32, u32)>> {
    prop::collection::vec((1u32..32, 0u32..64), 1..24)
}

/// A fixed seed, so that each run has the same cases.
fn fixed() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(4);
    ProptestConfig { cases: 100, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn order_names_each_candidate_once(loads in fleet(), chat: u64, seed: u64) {
        let candidates = candidates(&loads);
        let query = Query { mean: mean(&candidates), seed, ..query(Some(chat)) };
        for kind in Kind::ALL {
            let mut order = kind.placement().order(&query, &candidates);
            prop_assert_eq!(&order, &kind.placement().order(&query, &candidates));
            order.sort_unstable();
            prop_assert_eq!(order, (0..candidates.len()).collect::<Vec<_>>());
        }
    }

    #[test]
    fn an_engine_that_leaves_moves_only_its_own_chats(
        loads in prop::collection::vec((1u32..32, Just(0)), 2..24),
        chats in prop::collection::vec(any::<u64>(), 50),
        gone: prop::sample::Index,
    ) {
        let before = candidates(&loads);
        let gone = before[gone.index(before.len())].engine.clone();
        let after: Vec<Candidate> =
            before.iter().filter(|candidate| candidate.engine != gone).cloned().collect();
        for chat in chats {
            let home = &before[placement::home(chat, &before).unwrap()].engine;
            let next = &after[placement::home(chat, &after).unwrap()].engine;
            prop_assert!(home == next || *home == gone);
        }
    }

    #[test]
    fn engines_at_the_bound_come_last(loads in fleet(), chat: u64, last: prop::sample::Index) {
        let candidates = candidates(&loads);
        let last = fingerprint(&candidates[last.index(candidates.len())].engine);
        let query = Query { mean: mean(&candidates), last: Some(last), ..query(Some(chat)) };
        let order = Bounded.order(&query, &candidates);
        let at_bound: Vec<bool> = order
            .iter()
            .map(|index| placement::is_at_bound(&candidates[*index], query.mean, query.bound))
            .collect();
        prop_assert!(at_bound.is_sorted());
    }

    #[test]
    fn the_engine_with_the_context_precedes_the_home(
        loads in fleet(),
        chat: u64,
        last: prop::sample::Index,
    ) {
        // Requests stay below the slots, so that no engine is at the bound; the bound
        // would take precedence.
        let loads: Vec<(u32, u32)> =
            loads.iter().map(|(slots, requests)| (*slots, requests % slots)).collect();
        let candidates = candidates(&loads);
        let last = last.index(candidates.len());
        let home = placement::home(chat, &candidates).unwrap();
        let query =
            Query { last: Some(fingerprint(&candidates[last].engine)), ..query(Some(chat)) };
        let order = Bounded.order(&query, &candidates);
        prop_assert_eq!(order[0], last);
        prop_assert!(last == home || order[1] == home);
    }

    #[test]
    fn a_full_engine_is_tried_first_if_the_query_allows_it(
        loads in fleet(),
        chat: u64,
        last in prop::option::of(any::<prop::sample::Index>()),
    ) {
        let candidates = candidates(&loads);
        let home = placement::home(chat, &candidates).unwrap();
        let first = last.map_or(home, |last| last.index(candidates.len()));
        let last = last.map(|_| fingerprint(&candidates[first].engine));
        let query =
            Query { mean: mean(&candidates), last, can_try_full: true, ..query(Some(chat)) };
        let order = Bounded.order(&query, &candidates);
        prop_assert_eq!(order[0], first);
        let is_at_bound =
            |index: &usize| placement::is_at_bound(&candidates[*index], query.mean, query.bound);
        prop_assert!(order[1..].iter().map(is_at_bound).is_sorted());
    }

    #[test]
    fn a_new_chat_leaves_a_busier_home(
        loads in prop::collection::vec((8u32..9, 0u32..8), 2..24),
        chat: u64,
    ) {
        // Each engine has a free slot, so none is at the bound.
        let candidates = candidates(&loads);
        let by_hash = Rendezvous.order(&query(Some(chat)), &candidates);
        let (home, second) = (by_hash[0], by_hash[1]);
        let first =
            Bounded.order(&Query { is_first_turn: true, ..query(Some(chat)) }, &candidates)[0];
        let is_busier = candidates[home].requests > candidates[second].requests;
        prop_assert_eq!(first, if is_busier { second } else { home });
    }

    #[test]
    fn load_stays_within_the_bound(
        slots in prop::collection::vec(1u32..16, 2..24),
        chats in prop::collection::vec(0u64..20, 1..400),
    ) {
        let loads: Vec<(u32, u32)> = slots.iter().map(|slots| (*slots, 0)).collect();
        let mut fleet = candidates(&loads);
        for chat in chats {
            let query = Query { mean: mean(&fleet), ..query(Some(chat)) };
            let first = Bounded.order(&query, &fleet)[0];
            fleet[first].requests += 1;
            let slots = fleet[first].slots;
            // The multiple of the mean, rounded up to whole requests, and at least the slots.
            let limit = (1.25 * mean(&fleet).unwrap().per_slot * slots as f32).ceil() as u32;
            prop_assert!(fleet[first].requests <= limit.max(slots));
        }
    }

    #[test]
    fn locations_are_bounded(chats in prop::collection::vec(any::<u64>(), 600)) {
        let mut locations = Locations::default();
        for (second, chat) in chats.iter().enumerate() {
            // All chats fall into one set, so that it overflows.
            let chat = chat & !0xff;
            let now = Duration::from_millis(second as u64);
            locations.record(chat, LOCATION, now);
            prop_assert_eq!(locations.locate(chat, now), Some(LOCATION));
        }
        prop_assert!(locations.len() <= 256);
    }
}

#[test]
fn engines_get_chats_in_proportion_to_their_slots() {
    let candidates = candidates(&[(2, 0), (4, 0), (8, 0), (16, 0)]);
    let mut homes = [0u32; 4];
    for chat in 0..30_000u64 {
        homes[Rendezvous.order(&query(Some(chat)), &candidates)[0]] += 1;
    }
    for (index, count) in homes.iter().enumerate() {
        let expected = 1000 << (index + 1);
        assert!(count.abs_diff(expected) < expected / 10, "{homes:?}");
    }
}

#[test]
fn distance_breaks_ties_of_work_without_a_chat_only() {
    let mut two = candidates(&[(8, 1), (8, 1)]);
    for seed in 0..100 {
        two[0].distance = Distance::Centre;
        let call = Query { seed, ..query(None) };
        assert_eq!(Bounded.order(&call, &two)[0], 0);
        let chat = query(Some(seed));
        let home = Bounded.order(&chat, &two)[0];
        two[0].distance = Distance::Region;
        assert_eq!(Bounded.order(&chat, &two)[0], home);
    }
}

/// Creates candidates of which the first half is in another region.
fn two_regions(loads: &[(u32, u32)]) -> Vec<Candidate> {
    let mut candidates = candidates(loads);
    let remote = candidates.len() / 2;
    candidates[..remote].iter_mut().for_each(|candidate| candidate.distance = Distance::Remote);
    candidates
}

#[test]
fn homes_are_in_the_own_region_and_the_other_region_takes_the_overflow() {
    let mut engines = two_regions(&[(8, 0); 6]);
    for chat in 0..100 {
        let order = Bounded.order(&query(Some(chat)), &engines);
        assert_eq!(placement::home(chat, &engines), Some(order[0]));
        assert!(order[..3].iter().all(|index| *index >= 3), "{order:?}");
    }
    engines[3..].iter_mut().for_each(|engine| engine.requests = 100);
    for chat in 0..100 {
        let order = Bounded.order(&query(Some(chat)), &engines);
        assert!(order[..3].iter().all(|index| *index < 3), "{order:?}");
    }
}

#[test]
fn a_lost_region_moves_no_chat_of_the_other() {
    let engines = two_regions(&[(8, 0); 6]);
    for chat in 0..100 {
        let home = placement::home(chat, &engines).map(|index| &engines[index].engine);
        let rest = &engines[3..];
        assert_eq!(home, placement::home(chat, rest).map(|index| &rest[index].engine));
    }
}

#[test]
fn a_chat_stays_in_another_region_that_holds_its_context() {
    let engines = two_regions(&[(8, 0); 6]);
    for chat in 0..100 {
        let last = Some(fingerprint(&engines[1].engine));
        let order = Bounded.order(&Query { last, ..query(Some(chat)) }, &engines);
        assert_eq!(order[0], 1);
    }
}

#[test]
fn work_without_a_chat_stays_in_the_own_region() {
    let mut engines = two_regions(&[(8, 1); 6]);
    engines[..3].iter_mut().for_each(|engine| engine.requests = 0);
    for seed in 0..100 {
        let order = Bounded.order(&Query { seed, ..query(None) }, &engines);
        assert!(order[..3].iter().all(|index| *index >= 3), "{order:?}");
    }
}

#[test]
fn locations_expire() {
    let mut locations = Locations::default();
    assert!(locations.record(5, LOCATION, Duration::ZERO));
    assert!(!locations.record(5, LOCATION, Duration::ZERO));
    assert!(locations.record(5, Location { home: 3, ..LOCATION }, Duration::ZERO));
    assert!(locations.record(5, LOCATION, Duration::ZERO));
    assert_eq!(locations.locate(5, Duration::from_secs(60)), Some(LOCATION));
    assert_eq!(locations.locate(5, Duration::from_secs(3600)), None);
    locations.forget(5);
    assert!(locations.is_empty());
}

#[test]
fn loads_expire_and_count_ended_requests() {
    let mut loads = Loads::default();
    let now = Duration::from_secs(5);
    loads.observe("a", Load { running: 2, waiting: 1, slots: 2, tokens: 0 }, now);
    let requests = |loads: &Loads| loads.load("a", now).map(|load| load.requests());
    assert_eq!(requests(&loads), Some(3));
    (0..2).for_each(|_| loads.record_end("a"));
    assert_eq!(requests(&loads), Some(1));
    (0..2).for_each(|_| loads.record_end("a"));
    assert_eq!(requests(&loads), Some(0));
    assert_eq!(loads.load("a", now + Duration::from_secs(3)), None);
    loads.observe("b", Load::default(), now + Duration::from_secs(3));
    assert_eq!(requests(&loads), None);
}

#[test]
fn a_request_is_not_counted_in_the_load_that_it_met() {
    let load = |running, waiting| Load { running, waiting, slots: 2, tokens: 0 };
    assert_eq!(without_request(load(1, 0)), load(0, 0));
    assert_eq!(without_request(load(2, 3)), load(2, 2));
    assert_eq!(without_request(load(0, 0)), load(0, 0));
}

#[test]
fn batches_are_bounded_and_no_note_is_lost() {
    let mut spills = Spills::default();
    for chat in 0..60 {
        let home = format!("engine-{}", chat % 3);
        spills.add(Spill { home, note: Note { chat, engine: "other".into() } });
    }
    let mut notified = Vec::new();
    for _ in 0..5 {
        let batches = spills.take();
        let notes: usize = batches.iter().map(|batch| batch.notes.len()).sum();
        assert!(batches.len() <= 2 && notes <= 24);
        notified.extend(batches.into_iter().flat_map(|batch| batch.notes).map(|note| note.chat));
    }
    notified.sort_unstable();
    assert_eq!(notified, (0..60).collect::<Vec<_>>());
    assert!(spills.take().is_empty());
}
