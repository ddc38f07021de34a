//! Tests of the parts of which the slow start of cold endpoints is made.

use std::time::Duration;

use policy::rate_limit::Row;
use policy::slow_start::Announced;
use policy::slow_start::Bounds;
use policy::slow_start::Rules;
use policy::slow_start::Source;
use policy::slow_start::Term;
use policy::slow_start::Throttle;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rules(per_s: f64, over: f64, slack: f64) -> Rules {
    Rules { per_s, time: millis(3_000), bounds: Bounds { over, slack } }
}

fn announced(left: u64, sequence: Option<u64>) -> Announced {
    Announced { left: millis(left), sequence }
}

proptest! {
    #[test]
    fn the_rate_of_a_fleet_and_what_it_keeps_exceed_the_bound_or_leave_endpoints_idle(
        per_s in 0.01..1e6,
        over in 1.0..10.0,
        slack in 0.0..100.0,
        gateways in 0u32..1_000,
        validity in 100u64..1_000,
    ) {
        let rate = rules(per_s, over, slack).rate(gateways, millis(validity));
        prop_assert!(rate > 0.0 && rate <= per_s, "{rate}");
        let most = rate * (1.0 + validity as f64 / 1_000.0);
        prop_assert!(most <= per_s * over + slack, "{most}");
    }
}

#[test]
fn gateways_that_know_nothing_of_each_other_send_more_than_the_bound() {
    // Each takes itself for one of the largest fleet and is asked all the time.
    let rules = rules(13.0, 1.5, 5.0);
    let mut times = Vec::new();
    let mut rng = Pcg64::seed_from_u64(1);
    for _ in 0..300 {
        let mut throttle = Throttle::new(7, rng.random());
        throttle.announce(announced(5_000, Some(1)), millis(10_000));
        for now in (10_000..15_000).step_by(10) {
            throttle.refill(Some(&rules), 400, 360, millis(now));
            if throttle.allows() {
                throttle.record_sent(millis(now));
                times.push(now);
            }
        }
    }
    let within =
        |from: &u64| times.iter().filter(|at| (*from..*from + 1_000).contains(*at)).count();
    let most = times.iter().map(within).max().unwrap_or_default();
    assert!((5..=24).contains(&most), "{most} in a second");
}

#[test]
fn an_old_word_shortens_a_cold_time_or_a_late_one_prolongs_it() {
    let mut term = Term::default();
    let until = |term: &Term| term.known().map(|known| (known.until.as_millis(), known.source));
    term.respond(millis(2_000), millis(1_000));
    // It was written before the endpoint turned cold.
    term.announce(announced(0, Some(4)), millis(1_100));
    assert_eq!(until(&term), Some((3_000, Source::Response)));
    term.announce(announced(1_900, Some(5)), millis(1_300));
    term.announce(announced(1_900, Some(5)), millis(2_500));
    assert_eq!(until(&term), Some((3_200, Source::Announcement)));
    term.announce(announced(0, None), millis(2_600));
    assert_eq!(until(&term), Some((3_200, Source::Announcement)));
    assert!(term.is_cold(millis(3_100)) && !term.is_cold(millis(3_200)));
}

#[test]
fn gateways_that_heard_of_a_cold_time_from_each_other_keep_it_up() {
    let (rules, mut hearing) = (rules(23.0, 1.5, 5.0), Throttle::new(7, 1));
    let row = Row { endpoint: 7, max_rate: Some(23.0), age: Duration::ZERO, sent: 0, wanted: 40 };
    hearing.learn(Some(&row), 4, 10, millis(1_000));
    let turn = hearing.refill(Some(&rules), 10, 5, millis(1_000)).expect("a turn");
    assert!(turn.is_held && turn.known.source == Source::Gateway);
    let told = hearing.row(10, millis(1_100)).expect("a row");
    assert_eq!(told.max_rate, None);
    hearing.learn(Some(&told), 4, 10, millis(1_200));
    let turn = hearing.refill(Some(&rules), 10, 5, millis(3_700)).expect("a turn");
    assert!(!turn.is_held && hearing.allows());
}
