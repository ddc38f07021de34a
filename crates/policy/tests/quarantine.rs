//! Tests of the parts that are blamed for crashes of endpoints.

use std::time::Duration;

use policy::quarantine::Digest;
use policy::quarantine::Register;
use policy::quarantine::Suspect;
use proptest::prelude::*;

/// A part of all prompts of a route.
const FIRST: u64 = 1;

/// The part that crashes endpoints.
const HARMFUL: u64 = 13;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(parts: &[u64]) -> Suspect {
    Suspect::new(parts.iter().copied()).expect("a part")
}

/// Records the crash of an endpoint with these requests.
fn crash(register: &mut Register, start: u64, requests: &[&[u64]], now: Duration) {
    for parts in requests {
        register.record_broken(start, request(parts), None, now);
    }
    register.confirm(start, now + at(20));
}

fn is_blocked(register: &Register, parts: &[u64], now: Duration) -> bool {
    register.blocked_for(&request(parts), now).is_some()
}

#[test]
fn a_part_is_blamed_after_three_crashes_and_sound_requests_that_were_there_are_not() {
    let mut register = Register::default();
    for start in 0..3 {
        let now = at(200 * start);
        assert!(!is_blocked(&register, &[FIRST, HARMFUL], now));
        // A sound request with the first part succeeds elsewhere.
        register.record_success(&request(&[FIRST, 50]), now);
        let (other, another) = (20 + start, 30 + start);
        crash(&mut register, start, &[&[FIRST, HARMFUL], &[FIRST, other], &[another]], now);
    }
    let now = at(400);
    assert!(is_blocked(&register, &[FIRST, HARMFUL], now));
    assert!(is_blocked(&register, &[2, 99, HARMFUL], now));
    for parts in [&[FIRST][..], &[FIRST, 20], &[FIRST, 21, 99], &[30], &[31], &[2]] {
        assert!(!is_blocked(&register, parts, now), "{parts:?}");
    }
}

#[test]
fn a_request_that_broke_off_at_an_endpoint_that_lives_blames_nothing() {
    let mut register = Register::default();
    for start in 0..20 {
        register.record_broken(start, request(&[FIRST, HARMFUL]), None, at(200 * start));
    }
    assert!(!is_blocked(&register, &[FIRST, HARMFUL], at(2_000)));
}

#[test]
fn a_response_that_began_long_before_the_crash_did_not_cause_it() {
    let mut register = Register::default();
    for start in 0..5 {
        let now = at(200 * start);
        register.record_broken(start, request(&[7]), Some(at(1_500)), now);
        register.record_broken(start, request(&[HARMFUL]), Some(at(50)), now);
        register.confirm(start, now);
    }
    assert!(!is_blocked(&register, &[7], at(600)));
    assert!(is_blocked(&register, &[HARMFUL], at(600)));
}

#[test]
fn a_success_clears_a_part_at_once() {
    let mut register = Register::default();
    for start in 0..4 {
        crash(&mut register, start, &[&[7, 8]], at(200 * start));
    }
    assert!(is_blocked(&register, &[7, 8], at(500)));
    assert!(!is_blocked(&register, &[7], at(500)), "the parts were never there alone");
    // One that was sent before.
    register.record_success(&request(&[7, 8]), at(600));
    assert!(!is_blocked(&register, &[7, 8], at(600)));
}

#[test]
fn of_parts_that_were_always_together_the_one_that_goes_on_is_blamed() {
    let mut register = Register::default();
    for start in 0..3 {
        crash(&mut register, start, &[&[HARMFUL, 7]], at(200 * start));
    }
    assert!(!is_blocked(&register, &[7, 99], at(400)), "sound requests may have part 7");
    crash(&mut register, 4, &[&[HARMFUL, 8]], at(500));
    assert!(is_blocked(&register, &[HARMFUL, 9], at(600)));
    assert!(!is_blocked(&register, &[7, 8], at(600)));
}

#[test]
fn a_sound_request_that_was_at_the_same_crashes_is_released_by_the_next_one() {
    let mut register = Register::default();
    for start in 0..3 {
        crash(&mut register, start, &[&[HARMFUL, 20 + start], &[7]], at(200 * start));
    }
    crash(&mut register, 3, &[&[HARMFUL, 30]], at(400));
    assert!(is_blocked(&register, &[HARMFUL, 40], at(500)));
    assert!(!is_blocked(&register, &[7], at(500)));
}

#[test]
fn two_parts_that_crash_endpoints_are_both_blamed() {
    let mut register = Register::default();
    for start in 0..4 {
        crash(&mut register, start, &[&[FIRST, HARMFUL, 20 + start]], at(200 * start));
        crash(&mut register, 10 + start, &[&[FIRST, 77, 40 + start]], at(200 * start + 50));
        register.record_success(&request(&[FIRST, 60]), at(200 * start + 90));
    }
    for parts in [&[FIRST, HARMFUL][..], &[FIRST, 77]] {
        assert!(is_blocked(&register, parts, at(500)), "{parts:?}");
    }
    assert!(!is_blocked(&register, &[FIRST, 21], at(500)));
}

#[test]
fn crashes_by_requests_that_are_sent_again_count_although_they_follow_at_once() {
    // Whether the crashes count that follow each other after these milliseconds, and whether
    // endpoints without the part crash at the same time.
    let cases = [
        (30, true, false, true),
        (60, true, false, true),
        (60, false, false, false),
        (10, true, false, false),
        (30, true, true, false),
    ];
    for (millis, is_repeated, has_others, is_blamed) in cases {
        let mut register = Register::default();
        for start in 0..3 {
            let now = at(millis * start);
            let suspect = request(&[HARMFUL, 20]).repeated(is_repeated && start > 0);
            register.record_broken(start, suspect, None, now);
            register.confirm(start, now);
            if has_others {
                crash(&mut register, 10 + start, &[&[70 + start]], now);
            }
        }
        let is_blocked = is_blocked(&register, &[HARMFUL, 20], at(200));
        assert_eq!(is_blocked, is_blamed, "{millis} ms, {is_repeated}, {has_others}");
    }
}

#[test]
fn a_success_that_clears_a_part_is_remembered_however_many_others_succeed() {
    let mut register = Register::default();
    for start in 0..3 {
        crash(&mut register, start, &[&[7], &[HARMFUL, 20 + start]], at(200 * start));
    }
    register.record_success(&request(&[7]), at(700));
    for other in 0..20_000 {
        register.record_success(&request(&[1_000 + other]), at(800 + other));
    }
    crash(&mut register, 3, &[&[50]], at(30_000));
    assert!(!is_blocked(&register, &[7], at(30_100)));
    assert!(is_blocked(&register, &[HARMFUL, 60], at(30_100)));
}

#[test]
fn a_request_is_blamed_among_as_many_as_an_endpoint_takes() {
    let mut registers = vec![Register::default(); 2];
    for start in 0..3 {
        let now = at(200 * start);
        for other in 300..500 {
            let sound = Suspect::of_request(other, [1_000 * (start + 1) + other]);
            registers[0].record_broken(start, sound, None, now);
        }
        registers[0].record_broken(start, Suspect::of_request(HARMFUL, []), None, now);
        registers[0].confirm(start, now);
        for other in 300..500 {
            let sound = Suspect::of_request(other, []);
            registers[0].record_success(&sound, now + at(50));
        }
        exchange_all(&mut registers, now + at(100));
    }
    for register in &registers {
        let harmful = Suspect::of_request(HARMFUL, []);
        assert!(register.blocked_for(&harmful, at(700)).is_some());
    }
}

#[test]
fn endpoints_that_crash_together_blame_nothing() {
    let mut register = Register::default();
    for start in 0..16 {
        crash(&mut register, start, &[&[FIRST, 20 + start], &[FIRST, 7]], at(5 * start));
    }
    for parts in [&[FIRST][..], &[FIRST, 7]] {
        assert!(!is_blocked(&register, parts, at(200)), "{parts:?}");
    }
}

#[test]
fn a_block_ends_and_one_more_crash_renews_it() {
    let mut register = Register::default();
    for start in 0..3 {
        crash(&mut register, start, &[&[HARMFUL]], at(200_000 * start));
    }
    let left = register.blocked_for(&request(&[HARMFUL]), at(400_100)).expect("a block");
    assert_eq!(left, Duration::from_millis(199_900));
    assert!(!is_blocked(&register, &[HARMFUL], at(600_100)));
    crash(&mut register, 3, &[&[HARMFUL]], at(600_200));
    assert!(is_blocked(&register, &[HARMFUL], at(600_300)));
}

#[test]
fn gateways_that_saw_one_crash_each_blame_the_part_together() {
    let mut registers = vec![Register::default(); 5];
    for (start, register) in (0..).zip(&mut registers) {
        let now = at(200 * start);
        crash(register, start, &[&[FIRST, HARMFUL, 20 + start], &[FIRST, 7]], now);
    }
    registers[4].record_success(&request(&[FIRST, 7]), at(850));
    exchange_all(&mut registers, at(900));
    for register in &registers {
        assert!(is_blocked(register, &[FIRST, HARMFUL], at(950)));
        assert!(!is_blocked(register, &[FIRST, 7], at(950)));
    }
}

#[test]
fn a_gateway_confirms_its_own_requests_by_a_crash_that_another_one_saw() {
    let mut registers = vec![Register::default(); 2];
    for start in 0..3 {
        let now = at(200 * start);
        registers[0].record_broken(start, request(&[HARMFUL, 20 + start]), None, now);
        crash(&mut registers[1], start, &[&[30 + start]], now);
    }
    exchange_all(&mut registers, at(500));
    exchange_all(&mut registers, at(700));
    assert!(registers.iter().all(|register| is_blocked(register, &[HARMFUL], at(800))));
}

#[test]
fn a_gateway_that_starts_later_learns_what_is_blocked() {
    let mut old = Register::default();
    for start in 0..4 {
        crash(&mut old, start, &[&[FIRST, HARMFUL, 20 + start]], at(200 * start));
    }
    let now = at(60_000);
    let mut new = Register::default();
    new.learn(&old.digest(false, now), at(50));
    assert!(!is_blocked(&new, &[HARMFUL, FIRST], at(50)), "this is no news any more");
    new.learn(&old.digest(true, now), at(50));
    assert!(is_blocked(&new, &[HARMFUL, FIRST], at(50)));
}

#[test]
fn news_ends_so_that_calm_gateways_tell_nothing() {
    let mut registers = vec![Register::default(); 3];
    crash(&mut registers[0], 1, &[&[FIRST, HARMFUL]], at(100));
    for millis in (200..10_000).step_by(250) {
        exchange_all(&mut registers, at(millis));
    }
    for register in &registers {
        assert!(register.digest(false, at(10_000)).is_empty());
    }
}

#[test]
fn a_digest_out_of_order_or_over_its_limits_changes_nothing() {
    // Too many suspects of each crash, and of all together.
    let too_long = [(3, 257), (5, 250)].map(|(crashes, suspects)| {
        let suspects = vec![request(&[HARMFUL]); suspects];
        let crashes = (0..crashes).map(|start| (start, at(0), suspects.clone())).collect();
        Digest { crashes, successes: Vec::new() }
    });
    let unsorted: Suspect =
        serde_json::from_str(r#"{"parts":[9,3],"is_repeated":false}"#).expect("a suspect");
    let out_of_order = Digest {
        crashes: (0..5).map(|start| (start, at(0), vec![unsorted.clone()])).collect(),
        successes: Vec::new(),
    };
    for digest in too_long.into_iter().chain([out_of_order]) {
        let mut register = Register::default();
        register.learn(&digest, at(100));
        assert_eq!(register.blocks(), &[]);
        assert!(register.digest(true, at(100)).is_empty());
    }
}

/// Lets each gateway tell each other one what it knows.
fn exchange_all(registers: &mut [Register], now: Duration) {
    for teller in 0..registers.len() {
        let digest = registers[teller].digest(false, now);
        assert!(digest.is_valid());
        registers.iter_mut().for_each(|register| register.learn(&digest, now));
    }
}

proptest! {
    /// Whatever crashes, a part with a request that succeeds after each crash is never refused.
    #[test]
    fn a_part_that_succeeds_is_never_blocked(
        crashes in prop::collection::vec(
            prop::collection::vec(prop::collection::vec(2u64..12, 1..4), 1..6), 1..30),
    ) {
        let mut register = Register::default();
        for (start, requests) in (0..).zip(&crashes) {
            let now = at(3_000 * start);
            let requests: Vec<&[u64]> = requests.iter().map(Vec::as_slice).collect();
            crash(&mut register, start, &requests, now);
            register.record_success(&request(&[2]), now + at(10));
            prop_assert!(!is_blocked(&register, &[2], now + at(30)));
            prop_assert!(register.digest(true, now).is_valid());
        }
    }

    /// However many sound requests share endpoints with it, a part at each crash is blamed.
    #[test]
    fn a_part_that_is_at_each_crash_is_blocked_after_five(
        others in prop::collection::vec(
            prop::collection::vec(prop::collection::vec(20u64..60, 1..4), 0..8), 5),
    ) {
        let mut register = Register::default();
        for (start, others) in (0..).zip(&others) {
            let mut requests: Vec<&[u64]> = others.iter().map(Vec::as_slice).collect();
            let harmful = [FIRST, HARMFUL, 100 + start];
            requests.push(&harmful);
            register.record_success(&request(&[FIRST, 200 + start]), at(200 * start));
            crash(&mut register, start, &requests, at(200 * start));
        }
        let harmful = [FIRST, HARMFUL, 300];
        prop_assert!(is_blocked(&register, &harmful, at(1_100)));
    }
}
