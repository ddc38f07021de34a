//! Replays endpoints that limit the rate of requests against a fleet of gateways, each of which
//! knows of the others only what they exchange.

mod fleet;

use crate::fleet::Fleet;
use crate::fleet::Load;
use crate::fleet::Outcome;
use crate::fleet::Size;
use crate::fleet::Trouble;

const SINGLE: Size = Size { gateways: 1, centre: 1, endpoints: 4 };
const SMALL: Size = Size { gateways: 5, centre: 1, endpoints: 8 };
const LARGE: Size = Size { gateways: 68, centre: 14, endpoints: 24 };
const HUGE: Size = Size { gateways: 300, centre: 32, endpoints: 24 };
const SIZES: [Size; 4] = [SINGLE, SMALL, LARGE, HUGE];

/// Limits in requests per second.
const RATES: [f64; 4] = [0.5, 3.0, 8.0, 40.0];

/// Least share of the limits that is used while clients want more.
const MIN_USED: f64 = 0.9;

fn play(size: Size, load: Load, trouble: Trouble, seed: u64) -> Outcome {
    Fleet::new(size, load, trouble, seed).play(24)
}

/// Plays all sizes and limits; no endpoint gets more than its limit allows.
fn check(pressure: f64, is_uneven: bool, trouble: Trouble, seeds: std::ops::Range<u64>) {
    for size in SIZES {
        for rate in RATES {
            for seed in seeds.clone() {
                let load = Load { rate, pressure, is_uneven };
                let outcome = play(size, load, trouble, seed);
                assert!(
                    outcome.excess.is_none(),
                    "{} gateways, {rate} a second, seed {seed}: {:?} sent and allowed in a span",
                    size.gateways,
                    outcome.excess
                );
            }
        }
    }
}

#[test]
fn gateways_together_exceed_the_limits_under_pressure() {
    check(3.0, false, Trouble::None, 0..3);
}

#[test]
fn gateways_with_uneven_traffic_exceed_the_limits() {
    check(3.0, true, Trouble::None, 10..13);
}

#[test]
fn gateways_exceed_the_limits_in_a_burst_after_a_quiet_time() {
    check(4.0, false, Trouble::Burst, 20..23);
}

#[test]
fn gateways_that_restart_make_the_others_exceed_the_limits() {
    check(3.0, true, Trouble::Restarts, 30..33);
}

#[test]
fn gateways_that_are_cut_off_make_the_others_exceed_the_limits() {
    check(3.0, true, Trouble::Cuts, 40..43);
}

#[test]
fn gateways_exceed_limits_that_change() {
    check(3.0, false, Trouble::Changes, 50..53);
}

#[test]
fn gateways_keep_to_limits_that_are_no_longer_named() {
    for size in SIZES {
        let load = Load { rate: 3.0, pressure: 3.0, is_uneven: false };
        let outcome = play(size, load, Trouble::Ends, 60);
        assert_eq!(outcome.excess, None, "{} gateways", size.gateways);
        assert_eq!(outcome.refused_at_the_end, 0, "{} gateways", size.gateways);
    }
}

#[test]
fn limits_are_not_used_in_full() {
    for size in SIZES {
        for rate in RATES {
            for is_uneven in [false, true] {
                let load = Load { rate, pressure: 2.0, is_uneven };
                let outcome = play(size, load, Trouble::None, 70);
                assert!(
                    outcome.used >= MIN_USED,
                    "{} gateways, {rate} a second, uneven {is_uneven}: {:.2} used",
                    size.gateways,
                    outcome.used
                );
            }
        }
    }
}

#[test]
fn requests_are_refused_though_they_are_few() {
    for size in SIZES {
        for rate in RATES {
            let load = Load { rate, pressure: 0.3, is_uneven: false };
            let outcome = play(size, load, Trouble::None, 80);
            let share = outcome.refused as f64 / outcome.wanted as f64;
            assert!(
                share < 0.02,
                "{} gateways, {rate} a second: {share:.3} refused",
                size.gateways
            );
        }
    }
}
