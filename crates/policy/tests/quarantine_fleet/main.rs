//! Replays requests that crash endpoints against a fleet of gateways, each of which sees only its
//! own requests and what others tell it.

mod fleet;
mod request;

use crate::fleet::Fleet;
use crate::fleet::Harm;
use crate::fleet::Size;
use crate::fleet::Trouble;

/// Crashes by a part after which the operators count.
const COUNTED_CRASHES: usize = 5;

/// Crashes by one request after which the operators count.
const COUNTED_CRASHES_BY_ONE: usize = 3;

/// Requests with the part that may be sent later than the contact time after these crashes.
const MAX_SENT: usize = 3;

const SMALL: Size =
    Size { gateways: 5, endpoints: 12, centre: 1, requests_per_s: 157, contact: 3_000 };
const GROWN: Size =
    Size { gateways: 30, endpoints: 55, centre: 10, requests_per_s: 900, contact: 4_000 };
const LARGE: Size =
    Size { gateways: 68, endpoints: 76, centre: 14, requests_per_s: 730, contact: 5_000 };

/// The same fleets before a plain service with few endpoints, and one gateway, and the largest fleet.
const PLAIN_ALONE: Size =
    Size { gateways: 1, endpoints: 3, centre: 1, requests_per_s: 55, contact: 3_000 };
const PLAIN_SMALL: Size =
    Size { gateways: 5, endpoints: 3, centre: 1, requests_per_s: 55, contact: 3_000 };
const PLAIN_LARGE: Size =
    Size { gateways: 68, endpoints: 19, centre: 14, requests_per_s: 300, contact: 5_000 };
const PLAIN_LARGEST: Size =
    Size { gateways: 300, endpoints: 60, centre: 38, requests_per_s: 900, contact: 5_000 };

/// Plays several seeds; in each of them few requests with the part are sent after five crashes,
/// and sound ones that share its other parts are hardly ever refused.
fn check(size: Size, trouble: Trouble, harmful_per_s: u64, seeds: std::ops::Range<u64>) {
    check_harm(Harm::Part, size, trouble, harmful_per_s, seeds);
}

/// The same for requests that crash endpoints with this in common.
fn check_harm(
    harm: Harm,
    size: Size,
    trouble: Trouble,
    harmful_per_s: u64,
    seeds: std::ops::Range<u64>,
) {
    let counted = match harm {
        Harm::Part => COUNTED_CRASHES,
        Harm::Request => COUNTED_CRASHES_BY_ONE,
    };
    for seed in seeds {
        let fleet = Fleet::new(size, trouble, seed).with_harm(harm);
        let outcome = fleet.play(30, harmful_per_s);
        let crashes = &outcome.crashes;
        assert!(!crashes.is_empty(), "seed {seed}: nothing crashed");
        if let Some(last) = crashes.get(counted - 1) {
            let later = outcome.sent.iter().filter(|at| **at > last + size.contact).count();
            assert!(later <= MAX_SENT, "seed {seed}: {later} sent, {} crashed", crashes.len());
        }
        let share = outcome.refused as f64 / outcome.sound as f64;
        assert!(share < 0.01, "seed {seed}: {} of {} refused", outcome.refused, outcome.sound);
    }
}

#[test]
fn few_requests_are_sent_after_five_crashes_in_a_small_fleet() {
    check(SMALL, Trouble::None, 2, 0..25);
    check(SMALL, Trouble::None, 8, 25..40);
}

#[test]
fn few_requests_are_sent_after_five_crashes_in_a_large_fleet() {
    check(GROWN, Trouble::None, 4, 0..4);
    check(LARGE, Trouble::None, 4, 4..8);
}

#[test]
fn few_requests_are_sent_while_endpoints_crash_for_other_reasons_too() {
    check(SMALL, Trouble::Crashes(0.16), 2, 0..25);
    check(LARGE, Trouble::Crashes(0.16), 4, 25..28);
}

#[test]
fn few_requests_are_sent_while_gateways_restart() {
    check(SMALL, Trouble::Restarts, 2, 0..25);
    check(LARGE, Trouble::Restarts, 4, 25..28);
}

#[test]
fn one_request_without_a_prompt_is_hardly_sent_after_three_crashes() {
    let sizes = [(PLAIN_ALONE, 0..20), (PLAIN_SMALL, 20..40), (PLAIN_LARGE, 40..44)];
    for (size, seeds) in sizes.into_iter().chain([(PLAIN_LARGEST, 44..46)]) {
        for harmful_per_s in [1, 5] {
            check_harm(Harm::Request, size, Trouble::None, harmful_per_s, seeds.clone());
        }
    }
}

#[test]
fn one_request_without_a_prompt_is_hardly_sent_while_gateways_restart() {
    check_harm(Harm::Request, PLAIN_SMALL, Trouble::Restarts, 2, 0..25);
    check_harm(Harm::Request, PLAIN_LARGE, Trouble::Restarts, 4, 25..28);
}

#[test]
fn one_request_without_a_prompt_is_hardly_sent_while_endpoints_crash_for_other_reasons_too() {
    check_harm(Harm::Request, PLAIN_SMALL, Trouble::Crashes(0.16), 2, 0..25);
    check_harm(Harm::Request, PLAIN_LARGE, Trouble::Crashes(0.16), 4, 25..28);
}

#[test]
fn no_sound_request_is_refused_when_many_endpoints_crash_at_once() {
    for (size, seeds) in [(SMALL, 0..20), (GROWN, 20..24), (LARGE, 24..28)] {
        for seed in seeds {
            let outcome = Fleet::new(size, Trouble::Crashes(0.3), seed).play(20, 0);
            assert_eq!(outcome.refused, 0, "seed {seed}: of {}", outcome.sound);
        }
    }
}
