//! Replays endpoints that come back cold at the peak against a fleet of gateways, each of which
//! knows of the others only what they exchange.

mod fleet;

use policy::slow_start::Bounds;
use policy::slow_start::Rules;

use crate::fleet::COLD;
use crate::fleet::Fleet;
use crate::fleet::Load;
use crate::fleet::Trouble;
use crate::fleet::millis;

/// Numbers of gateways, with the least share of the rates that is used.
const GATEWAYS: [(usize, f64); 5] = [(1, 0.6), (5, 0.5), (28, 0.4), (68, 0.25), (300, 0.1)];

/// Rates of the known deployments, in requests per second.
const RATES: [f64; 2] = [23.0, 13.0];

fn rules(per_s: f64) -> Rules {
    Rules { per_s, time: millis(3_000), bounds: Bounds { over: 1.5, slack: 5.0 } }
}

/// Returns the most requests in any second that begins in this range.
fn most(times: &[u64], from: u64, to: u64) -> usize {
    let starts = times.iter().filter(|at| (from..to).contains(*at));
    let count =
        |start: &u64| times.iter().filter(|at| (*start..*start + 1_000).contains(*at)).count();
    starts.map(count).max().unwrap_or_default()
}

/// Plays all sizes and rates. No endpoint gets more than it bears in any second of its cold time, nor
/// a jump after it, and together they get a share of what they bear. The share is low where a gateway
/// has less than one request in the time between two of its permits.
fn check(trouble: Trouble) {
    for (gateways, min_used) in GATEWAYS {
        for (per_s, is_uneven) in RATES.into_iter().flat_map(|rate| [(rate, false), (rate, true)]) {
            let rules = rules(per_s);
            let allowed = per_s * rules.bounds.over + rules.bounds.slack;
            let load = Load { gateways, rules, is_uneven, trouble };
            let sent = Fleet::new(load, gateways as u64).play();
            let most = |from, to| sent.iter().map(|times| most(times, from, to)).max();
            let (cold, after) = (most(COLD, COLD + 2_000), most(COLD + 2_500, COLD + 3_500));
            let is_later = |at: &&u64| (COLD + 1_500..COLD + 3_000).contains(*at);
            let used = sent.iter().flatten().filter(is_later).count() as f64;
            let used = used / (per_s * 1.5 * sent.len() as f64);
            let case = format!(
                "{gateways} gateways, {per_s} a second, uneven {is_uneven}: {cold:?} of {allowed}, \
                 {after:?} after, {used:.2} used"
            );
            println!("{trouble:?}, {case}");
            assert!(cold.is_some_and(|cold| cold as f64 <= allowed), "{case}");
            assert!(after.is_some_and(|after| after as f64 <= 2.0 * allowed), "{case}");
            assert!(used >= min_used, "{case}");
        }
    }
}

#[test]
fn endpoints_that_start_together_get_more_than_they_bear() {
    check(Trouble::None);
}

#[test]
fn endpoints_that_turn_cold_at_the_peak_get_more_than_they_bear() {
    check(Trouble::Turns);
}

#[test]
fn gateways_that_restart_send_more_than_their_part_to_cold_endpoints() {
    check(Trouble::Restarts);
}

#[test]
fn gateways_that_are_cut_off_send_more_than_their_part_to_cold_endpoints() {
    check(Trouble::Cuts);
}

#[test]
fn gateways_that_hear_late_of_cold_endpoints_send_them_too_much() {
    check(Trouble::Late);
}
