//! Tests of the share of failures of endpoints as one gateway sees them.

use std::time::Duration;

use policy::exchange::Additive;
use policy::failure_rate;
use policy::failure_rate::Load;
use policy::failure_rate::OTHERS_TTL;
use policy::failure_rate::Row;
use policy::failure_rate::SPAN;
use policy::failure_rate::Sheet;
use policy::failure_rate::Tally;
use policy::failure_rate::Trials;

const NOW: Duration = Duration::from_secs(100);

const TRIALS: Trials = Trials { gateways: 4, seed: 1 };

/// Returns a tally with requests of this gateway that ended now, and those of others.
fn tally(own: (u32, u32), others: (u32, u32)) -> Tally {
    let mut tally = Tally::default();
    (0..own.1).for_each(|_| tally.record_failure(NOW));
    (own.1..own.0).for_each(|_| tally.record_answer(NOW));
    let row = Row { endpoint: 1, requests: others.0, failures: others.1 };
    tally.learn(Some(&row), NOW);
    tally
}

/// Returns which endpoints are failing.
fn judge(tallies: &mut [Tally], now: Duration) -> Vec<bool> {
    let mut refs: Vec<&mut Tally> = tallies.iter_mut().collect();
    failure_rate::judge(&mut refs, TRIALS, now);
    tallies.iter().map(Tally::is_failing).collect()
}

#[test]
fn an_endpoint_that_fails_more_than_the_best_is_failing() {
    let mut tallies = [tally((3, 1), (12, 6)), tally((4, 0), (0, 0)), tally((2, 0), (0, 0))];
    assert_eq!(judge(&mut tallies, NOW), [true, false, false]);
}

/// Guards against an endpoint that is avoided for a request that caused its own failure.
#[test]
fn one_failure_or_one_in_many_is_no_ground() {
    for (own, others) in [((1, 1), (0, 0)), ((0, 0), (1, 1)), ((8, 1), (0, 0)), ((5, 1), (60, 4))] {
        let mut tallies = [tally(own, others), tally((8, 0), (0, 0)), tally((8, 0), (0, 0))];
        assert_eq!(judge(&mut tallies, NOW), [false; 3], "{own:?} {others:?}");
    }
}

#[test]
fn endpoints_that_fail_alike_are_all_sound() {
    let mut tallies = [tally((4, 2), (20, 9)), tally((6, 2), (18, 8)), tally((5, 3), (22, 10))];
    assert_eq!(judge(&mut tallies, NOW), [false; 3]);
}

/// Guards against a peer whose counts hide what this gateway sees itself.
#[test]
fn counts_of_others_make_no_endpoint_look_better() {
    let mut tallies = [tally((4, 4), (1_000_000, 1)), tally((4, 0), (0, 0))];
    assert_eq!(judge(&mut tallies, NOW), [true, false]);
}

#[test]
fn counts_are_forgotten_after_the_span_and_those_of_others_sooner() {
    let mut tallies = [tally((6, 4), (0, 0)), tally((6, 0), (0, 0))];
    assert_eq!(judge(&mut tallies, NOW), [true, false]);
    assert_eq!(judge(&mut tallies, NOW + SPAN / 2), [true, false]);
    assert_eq!(judge(&mut tallies, NOW + SPAN), [false, false]);
    let mut tallies = [tally((0, 0), (9, 6)), tally((6, 0), (0, 0))];
    assert_eq!(judge(&mut tallies, NOW + OTHERS_TTL), [false, false]);
    assert_eq!(judge(&mut tallies, NOW), [true, false]);
}

/// Guards against streams that always break off having a share of one half.
#[test]
fn a_stream_that_breaks_off_counts_once() {
    let mut tally = Tally::default();
    for _ in 0..4 {
        tally.record_answer(NOW);
        tally.record_break(NOW);
    }
    let counts = tally.own(NOW);
    assert_eq!((counts.requests, counts.failures), (4, 4));
}

/// Guards against shares that are too high since only gateways with failures tell their requests.
#[test]
fn a_gateway_without_failures_tells_its_requests_at_an_endpoint_that_failed_others() {
    assert_eq!(tally((5, 0), (0, 0)).row(7, NOW), None);
    let row = tally((5, 0), (3, 1)).row(7, NOW);
    assert_eq!(row, Some(Row { endpoint: 7, requests: 5, failures: 0 }));
}

/// Guards against trials of all gateways at the same moment, or more than a few per second.
#[test]
fn gateways_send_a_failing_endpoint_two_requests_a_second_together() {
    let gateways = 40;
    let mut times = Vec::new();
    for seed in 0..u64::from(gateways) {
        let trials = Trials { gateways, seed };
        let mut tallies = [tally((9, 6), (0, 0)), tally((9, 0), (0, 0))];
        let mut refs: Vec<&mut Tally> = tallies.iter_mut().collect();
        failure_rate::judge(&mut refs, trials, NOW);
        for step in 0..400u32 {
            let now = NOW + Duration::from_millis(100) * step;
            if tallies[0].is_trial_due(now) {
                tallies[0].record_trial(trials.interval(), now);
                times.push(step);
            }
        }
    }
    assert!((70..=90).contains(&times.len()), "{}", times.len());
    let in_a_second = |from: u32| times.iter().filter(|at| (from..from + 10).contains(*at)).count();
    let most = (0..390).map(in_a_second).max();
    assert!(most.is_some_and(|most| most <= 8), "{most:?}");
}

#[test]
fn sheets_have_a_bounded_number_of_rows_and_possible_counts() {
    let row = |endpoint| Row { endpoint, requests: 5, failures: 1 + u32::from(endpoint == 900) };
    let sheet = Sheet::new((0..1_000).map(row).collect());
    assert!(sheet.is_valid());
    assert_eq!(sheet.len(), 256);
    assert!(sheet.row(900).is_some());
    let mut sum = Sheet::default();
    for offset in 0..3 {
        let rows = (0..200).map(|endpoint| Row {
            endpoint: endpoint + offset * 200,
            requests: 1_000_000,
            failures: 1_000_000,
        });
        (0..3).for_each(|_| sum.add_all(&Sheet::new(rows.clone().collect()), Duration::ZERO));
    }
    assert!(sum.is_valid());
    assert_eq!(sum.len(), 256);
    let invalid = [(1, 2, 3), (1, 2_000_000, 1)];
    for (endpoint, requests, failures) in invalid {
        assert!(!Sheet::new(vec![Row { endpoint, requests, failures }]).is_valid());
    }
}

#[test]
fn sound_endpoints_with_room_take_the_requests_and_all_if_none_has() {
    let load = |requests, has_free_slot, is_failing| Load { requests, has_free_slot, is_failing };
    let sound = |loads: &[Load]| failure_rate::sound(loads, 4.0, 3);
    assert_eq!(sound(&[load(4.0, true, false), load(4.0, true, false)]), None);
    let loads = [load(1.0, true, true), load(5.0, true, false), load(6.0, true, false)];
    assert_eq!(sound(&loads), Some(vec![1, 2]));
    assert_eq!(sound(&[load(1.0, true, true), load(5.0, false, false)]), None);
    assert_eq!(sound(&[load(1.0, true, true), load(11.0, true, false)]), None);
    assert_eq!(sound(&[load(1.0, true, true), load(1.0, true, true)]), None);
}
