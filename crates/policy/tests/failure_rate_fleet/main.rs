//! Fleets of gateways whose endpoints fail a share of their requests, with counts of other gateways
//! that are half a second old.

mod fleet;

use fleet::FAULT;
use fleet::Fleet;
use fleet::Outcome;
use fleet::Scenario;

const FLEETS: [usize; 4] = [1, 5, 39, 300];

/// 45 model endpoints with slots to spare, four fifths of which fail 45 in 100 requests.
fn models(gateways: usize) -> Scenario {
    Scenario {
        gateways,
        endpoints: 45,
        rate: 12.0,
        failing: 36,
        share: 0.45,
        duration: 150,
        slots: 16,
        repeatable: 0.3,
        is_on: true,
    }
}

/// The same with nine in ten slots in use.
fn full_models(gateways: usize) -> Scenario {
    Scenario { rate: 28.0, duration: 1_000, slots: 32, ..models(gateways) }
}

/// Three plain endpoints, two of which fail 40 in 100 requests.
fn plain(gateways: usize) -> Scenario {
    Scenario { endpoints: 3, rate: 40.0, failing: 2, share: 0.4, duration: 30, ..models(gateways) }
}

/// Returns the outcomes without and with the decision.
fn play(scenario: &Scenario) -> [Outcome; 2] {
    [false, true].map(|is_on| {
        let scenario = Scenario { is_on, ..scenario.clone() };
        let gateways = scenario.gateways;
        let outcome = Fleet::new(scenario, 7).play(14_000);
        println!("{gateways} gateways, {is_on}: {outcome:?}");
        outcome
    })
}

/// Guards against requests that can't be repeated being sent on to endpoints that fail half of them,
/// as few as a gateway sees at each.
#[test]
fn fewer_requests_are_lost_while_four_fifths_of_the_endpoints_fail() {
    for gateways in FLEETS {
        let [off, on] = play(&models(gateways));
        assert!(on.lost as f64 <= 0.75 * off.lost as f64, "{} {}", on.lost, off.lost);
    }
}

#[test]
fn fewer_requests_are_lost_while_two_of_three_plain_endpoints_fail() {
    for gateways in FLEETS {
        let [off, on] = play(&plain(gateways));
        assert!(on.lost as f64 <= 0.6 * off.lost as f64, "{} {}", on.lost, off.lost);
    }
}

/// Guards against load being moved around where no endpoint is better than the others.
#[test]
fn nothing_changes_while_all_endpoints_fail_alike() {
    for gateways in FLEETS {
        for scenario in [models(gateways), plain(gateways)] {
            let [off, on] = play(&Scenario { failing: scenario.endpoints, ..scenario });
            let difference = on.lost.abs_diff(off.lost) as f64 / off.sent as f64;
            assert!(difference <= 0.02, "{} {}", on.lost, off.lost);
            assert!(on.avoided <= 0.3, "{}", on.avoided);
        }
    }
}

/// Guards against an endpoint that is avoided for longer than it failed.
#[test]
fn endpoints_that_work_again_get_requests_again_within_three_seconds() {
    for gateways in FLEETS {
        for scenario in [models(gateways), plain(gateways)] {
            let [_, on] = play(&scenario);
            let mean = |halves: &[usize]| halves.iter().sum::<usize>() / halves.len();
            let before = mean(&on.at_failing[2..8]);
            let after = mean(&on.at_failing[((FAULT.end + 3_000) / 500) as usize..]);
            assert!(after * 10 >= before * 8, "{:?}", on.at_failing);
        }
    }
}

/// Guards against sound endpoints being filled with what others would still take, and against
/// requests that find no endpoint.
#[test]
fn failing_endpoints_are_still_used_while_the_others_have_no_room() {
    for gateways in FLEETS {
        let [off, on] = play(&full_models(gateways));
        assert!(on.lost < off.lost, "{} {}", on.lost, off.lost);
        assert_eq!(on.refused, 0);
        let used = |outcome: &Outcome| outcome.at_failing[12..16].iter().sum::<usize>();
        assert!(used(&on) * 2 >= used(&off), "{:?}", on.at_failing);
        assert!(on.excess <= off.excess + 80.0, "{}", on.excess);
    }
}
