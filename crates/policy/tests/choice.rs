//! The order of endpoints by load and by the part of the prompt that they read last.

use policy::choice;
use policy::choice::Candidate;
use policy::choice::Query;

/// The operators' load bound: twice the mean of the service plus 3.
const BOUND: f64 = 2.0;
const BOUND_SLACK: f64 = 3.0;

const NAMES: [&str; 6] = ["e1", "e2", "e3", "e4", "e5", "e6"];

fn candidates(requests: &[f64]) -> Vec<Candidate<'static>> {
    let candidate = |(name, requests): (&&'static str, &f64)| Candidate {
        name,
        requests: *requests,
        slots: None,
        speed: 1.0,
        is_far: false,
        is_limited: false,
    };
    NAMES.iter().zip(requests).map(candidate).collect()
}

fn query(part: Option<u64>, tokens: u32) -> Query {
    Query { part, tokens, share: 0.0, unseen: 0.0, idle: 0, seed: 7 }
}

fn first(query: &Query, candidates: &[Candidate<'_>]) -> String {
    candidates[choice::order(query, candidates)[0]].name.to_owned()
}

#[test]
fn work_without_parts_goes_to_the_least_loaded() {
    let candidates = candidates(&[3.0, 1.0, 2.0]);
    assert_eq!(choice::order(&query(None, 0), &candidates), [1, 2, 0]);
}

#[test]
fn another_data_centre_only_breaks_ties() {
    let mut candidates = candidates(&[2.0, 2.0, 1.0]);
    candidates[0].is_far = true;
    candidates[2].is_far = true;
    assert_eq!(choice::order(&query(None, 0), &candidates), [2, 1, 0]);
}

#[test]
fn all_processes_send_a_part_to_the_same_endpoint() {
    let idle = candidates(&[0.0; 6]);
    let mut reversed = idle.clone();
    reversed.reverse();
    for part in 0..100 {
        let query = query(Some(part), 700);
        let other = Query { seed: 8, ..query };
        assert_eq!(first(&query, &idle), first(&other, &reversed));
    }
}

#[test]
fn an_endpoint_that_leaves_moves_only_its_own_parts() {
    let all = candidates(&[0.0; 6]);
    for part in 0..100 {
        let query = query(Some(part), 700);
        let before = first(&query, &all);
        let after = first(&query, &all[1..]);
        assert!(before == "e1" || before == after, "{before} {after}");
    }
}

#[test]
fn a_part_stays_where_it_was_read_while_loads_change() {
    // Loads within the multiple of the mean move no part.
    let idle = candidates(&[0.0; 6]);
    let uneven = candidates(&[6.0, 14.0, 8.0, 13.0, 9.0, 10.0]);
    for part in 0..100 {
        let query = query(Some(part), 700);
        assert_eq!(first(&query, &idle), first(&query, &uneven));
    }
}

#[test]
fn processes_with_different_histories_send_a_part_to_the_same_two_endpoints() {
    // A busy endpoint gives its parts away for a moment; every process sends them to the
    // same other one, and back again afterwards.
    let idle = candidates(&[0.0; 6]);
    for part in 0..100 {
        let query = query(Some(part), 700);
        let home = first(&query, &idle);
        let mut loads = candidates(&[10.0; 6]);
        let busy = loads.iter_mut().find(|candidate| candidate.name == home).expect("the home");
        busy.requests = 40.0;
        let second = first(&query, &loads);
        let names: Vec<&str> = NAMES.iter().copied().filter(|name| *name != home).collect();
        let without_home: Vec<Candidate<'_>> =
            idle.iter().copied().filter(|candidate| candidate.name != home).collect();
        assert_eq!(second, first(&query, &without_home));
        assert!(names.contains(&second.as_str()));
        assert_eq!(first(&query, &idle), home);
    }
}

#[test]
fn a_part_is_copied_from_the_endpoint_that_most_requests_go_to() {
    let idle = candidates(&[0.0; 6]);
    for part in 0..100 {
        let home = first(&query(Some(part), 700), &idle);
        let elsewhere = NAMES.iter().find(|name| **name != home).expect("another endpoint");
        let source = choice::source(part, elsewhere, &NAMES).expect("a source");
        assert_eq!(NAMES[source], home);
    }
}

#[test]
fn an_added_endpoint_copies_its_parts_from_where_they_were() {
    for part in 0..100 {
        let all = candidates(&[0.0; 6]);
        let before = first(&query(Some(part), 700), &all[1..]);
        if first(&query(Some(part), 700), &all) == "e1" {
            let source = choice::source(part, "e1", &NAMES).expect("a source");
            assert_eq!(NAMES[source], before);
        }
    }
}

#[test]
fn a_popular_part_is_spread_evenly_over_its_first_endpoints() {
    let busy = candidates(&[10.0; 6]);
    let mut by_name: Vec<(String, u32)> = Vec::new();
    for seed in 0..600 {
        let query = Query { share: 0.4, seed, ..query(Some(1), 700) };
        let name = first(&query, &busy);
        match by_name.iter_mut().find(|(known, _)| *known == name) {
            Some((_, count)) => *count += 1,
            None => by_name.push((name, 1)),
        }
    }
    // 0.4 of the requests are as many as 2.4 endpoints have at the mean, and add no more than half
    // of it to each of 5.
    assert_eq!(by_name.len(), 5, "{by_name:?}");
    assert!(by_name.iter().all(|(_, count)| *count == 120), "{by_name:?}");
    let home = first(&query(Some(1), 700), &busy);
    assert!(by_name.iter().any(|(name, _)| *name == home));
}

#[test]
fn a_popular_part_stays_at_one_endpoint_of_an_idle_service() {
    let idle = candidates(&[0.0, 0.0, 1.0, 0.0, 0.0, 0.0]);
    let home = first(&query(Some(1), 700), &idle);
    for seed in 0..60 {
        assert_eq!(first(&Query { share: 0.9, seed, ..query(Some(1), 700) }, &idle), home);
    }
}

#[test]
fn a_share_of_all_requests_uses_all_endpoints() {
    let idle = candidates(&[0.0; 6]);
    for seed in 0..6 {
        let query = Query { share: 1.0, seed, ..query(Some(1), 700) };
        assert_eq!(choice::order(&query, &idle).len(), 6);
    }
    let nobody = choice::order(&Query { share: 1.0, ..query(Some(1), 700) }, &[]);
    assert!(nobody.is_empty());
}

#[test]
fn a_single_endpoint_has_nothing_to_copy_from() {
    assert_eq!(choice::source(1, "e1", &["e1"]), None);
}

#[test]
fn a_long_part_accepts_a_busier_endpoint_than_a_short_one() {
    let idle = candidates(&[0.0; 6]);
    let home = first(&query(Some(1), 700), &idle);
    let mut loads = candidates(&[10.0; 6]);
    let busy = loads.iter_mut().find(|candidate| candidate.name == home).expect("the home");
    busy.requests = 21.0;
    assert_eq!(first(&query(Some(1), 10_000), &loads), home);
    assert_ne!(first(&query(Some(1), 700), &loads), home);
}

#[test]
fn no_hot_part_takes_an_endpoint_above_the_load_bound() {
    // One part gets all requests, at several levels of load; the known loads are exact.
    for total in [1_u32, 10, 60, 600] {
        let mut requests = [0.0; 6];
        for _ in 0..total {
            let loads = candidates(&requests);
            let index = choice::order(&query(Some(1), 10_000), &loads)[0];
            requests[index] += 1.0;
            let mean = requests.iter().sum::<f64>() / 6.0;
            assert!(requests[index] <= BOUND * mean + BOUND_SLACK + 1.0, "{requests:?}");
        }
    }
}

#[test]
fn loads_are_compared_relative_to_speeds() {
    let mut candidates = candidates(&[2.0, 5.0, 6.0]);
    candidates[0].speed = 0.25;
    candidates[2].speed = 1.5;
    // 8, 5 and 4 relative to their speeds.
    assert_eq!(choice::order(&query(None, 0), &candidates), [2, 1, 0]);
}

#[test]
fn an_idle_slow_endpoint_gets_fewer_requests_and_not_none() {
    let mut idle = candidates(&[0.0; 4]);
    idle[0].speed = 0.2;
    let is_first =
        |seed: &u64| choice::order(&Query { seed: *seed, ..query(None, 0) }, &idle)[0] == 0;
    // In proportion to the speeds it gets one in 16.
    let got = (0..1_600).filter(is_first).count();
    assert!((60..150).contains(&got), "{got} of 1,600");
}

#[test]
fn no_endpoint_gets_more_than_the_load_bound_for_its_speed() {
    // The others are so slow that half of all requests would be at the fast one.
    let mut loads = candidates(&[0.0; 6]);
    loads[1..].iter_mut().for_each(|candidate| candidate.speed = 0.2);
    loads[0].speed = 1.5;
    for part in [None, Some(1), Some(2), Some(3)] {
        let mut requests = [0.0; 6];
        for seed in 0..300 {
            loads.iter_mut().zip(requests).for_each(|(known, requests)| known.requests = requests);
            let index = choice::order(&Query { seed, ..query(part, 10_000) }, &loads)[0];
            requests[index] += 1.0;
            let mean = requests.iter().sum::<f64>() / 6.0;
            assert!(requests[index] <= 1.8 * mean + 2.5 + 1.0, "{requests:?}");
        }
    }
}

#[test]
fn a_slow_endpoint_keeps_its_parts_up_to_what_it_handles() {
    let idle = candidates(&[0.0; 6]);
    let home = first(&query(Some(1), 700), &idle);
    let place = |requests: f64| {
        let mut loads = candidates(&[8.0; 6]);
        let slow = loads.iter_mut().find(|candidate| candidate.name == home).expect("the home");
        (slow.speed, slow.requests) = (0.25, requests);
        first(&query(Some(1), 700), &loads)
    };
    assert_eq!(place(2.0), home);
    assert_ne!(place(8.0), home);
}

#[test]
fn a_permit_of_a_limited_endpoint_lapses_while_the_others_have_no_free_slot() {
    let mut candidates = candidates(&[15.0, 15.0, 15.0, 2.0, 1.0, 15.0]);
    candidates.iter_mut().for_each(|candidate| candidate.slots = Some(16));
    candidates[3].is_limited = true;
    for part in 0..100 {
        for tokens in [700, 9_000] {
            // Whatever the part's place, the slots of the limited endpoint are free.
            let chosen = first(&query(Some(part), tokens), &candidates);
            assert!(["e4", "e5"].contains(&chosen.as_str()), "{chosen}");
        }
    }
    candidates[4].requests = 15.0;
    assert_eq!(first(&query(Some(3), 9_000), &candidates), "e4");
    // A limited endpoint without a free slot is no better than another one.
    candidates[3].requests = 15.0;
    let places: Vec<String> =
        (0..100).map(|part| first(&query(Some(part), 9_000), &candidates)).collect();
    assert!(places.iter().any(|place| place != "e4"));
}

/// Guards against endpoints that get more than the load bound while a data centre is evacuated: the
/// bound refers to the mean over all endpoints of the service.
#[test]
fn evacuated_endpoints_do_not_count_for_the_mean() {
    let all = candidates(&[6.0, 6.0, 6.0, 9.0]);
    let names: Vec<u64> = (0..64).collect();
    let busiest = |idle: usize| {
        let first = |part: &&u64| {
            let query = Query { idle, ..query(Some(**part), 10_000) };
            choice::order(&query, &all)[0] == 3
        };
        names.iter().filter(first).count()
    };
    // The bound is 2 * 27 / 4 + 3 with all endpoints, and 2 * 27 / 8 + 3 with four idle ones.
    assert!(busiest(0) > 0);
    assert_eq!(busiest(4), 0);
}
