//! Tests of the parts of which rate limits are made.

use std::time::Duration;

use policy::rate_limit::Bucket;
use policy::rate_limit::Limiter;
use policy::rate_limit::Promises;
use policy::rate_limit::Row;
use policy::rate_limit::SPAN;
use policy::rate_limit::Usage;
use policy::rate_limit::Window;
use proptest::prelude::*;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn row(endpoint: u64, max_rate: Option<f64>, age: u64, sent: u32) -> Row {
    Row { endpoint, max_rate, age: millis(age), sent, wanted: 10 }
}

proptest! {
    #[test]
    fn a_bucket_gives_more_permits_than_its_rate_and_depth(
        phase in 0.0..1.0,
        rate in 0.01..50.0,
        depth in 0.0..10.0,
        pauses in proptest::collection::vec(0u64..3_000, 1..60),
    ) {
        let mut bucket = Bucket::new(phase);
        let (mut now, mut taken) = (10_000, 0);
        for pause in &pauses {
            now += pause;
            bucket.refill(rate, depth, millis(now));
            while bucket.has_permit() {
                bucket.take();
                taken += 1;
            }
        }
        let elapsed = pauses.iter().sum::<u64>() as f64 / 1_000.0;
        prop_assert!(f64::from(taken) <= rate * elapsed + depth + 1.0, "{taken}");
    }

    #[test]
    fn a_window_counts_events_that_are_over_or_forgets_later_ones(
        pauses in proptest::collection::vec(0u64..1_500, 1..60),
    ) {
        let (mut window, mut times, mut now) = (Window::default(), Vec::new(), 3_000);
        for pause in pauses {
            now += pause;
            window.add(millis(now));
            times.push(now);
            let within = |span: Duration| {
                times.iter().filter(|time| millis(now - **time) < span).count() as u32
            };
            let count = window.count(millis(now));
            prop_assert!(count >= within(SPAN - SPAN / 16) && count <= within(SPAN), "{count}");
        }
        prop_assert_eq!(window.count(millis(now) + 2 * SPAN), 0);
    }
}

#[test]
fn clients_that_are_refused_one_after_the_other_are_told_the_same_time() {
    let mut promises = Promises::default();
    let told: Vec<Duration> =
        (0..4).map(|_| promises.next(millis(300), 2.0, millis(1_000))).collect();
    assert_eq!(told, [millis(300), millis(800), millis(1_300), millis(1_800)]);
    // Those whose time is over are no longer ahead.
    assert_eq!(promises.next(millis(100), 2.0, millis(2_000)), millis(1_100));
    // Clients that retry at once don't put off the others for more than some seconds.
    let last = (0..100).map(|_| promises.next(millis(100), 2.0, millis(2_100))).last();
    assert_eq!(last, Some(millis(100) + SPAN));
}

#[test]
fn an_old_word_of_an_endpoint_replaces_a_later_one() {
    let mut usage = Usage::default();
    usage.add(row(7, Some(3.0), 500, 2));
    usage.add(row(7, None, 100, 1));
    usage.add(row(7, Some(5.0), 900, 4));
    let known = usage.row(7).expect("a row");
    assert_eq!((known.max_rate, known.age, known.sent, known.wanted), (None, millis(100), 7, 30));
    let mut limiter = Limiter::new(7, 1);
    assert!(limiter.set_max_rate(Some(4.0), millis(10_000)));
    assert!(!limiter.learn(Some(&row(7, None, 2_000, 0)), 1, millis(11_000)));
    assert_eq!(limiter.max_rate(), Some(4.0));
    assert!(limiter.learn(Some(&row(7, Some(2.0), 500, 0)), 1, millis(11_000)));
    assert_eq!(limiter.max_rate(), Some(2.0));
}

#[test]
fn others_are_not_told_that_a_limit_has_ended_or_are_told_of_endpoints_that_had_none() {
    let mut limiter = Limiter::new(7, 1);
    limiter.set_max_rate(None, millis(1_000));
    assert_eq!(limiter.row(3, millis(1_100)), None);
    limiter.set_max_rate(Some(4.0), millis(2_000));
    limiter.record_sent(millis(2_000));
    let told = limiter.row(3, millis(2_100)).expect("a row");
    assert_eq!((told.max_rate, told.age, told.sent), (Some(4.0), millis(100), 1));
    limiter.set_max_rate(None, millis(3_000));
    assert_eq!(limiter.row(3, millis(3_100)).expect("a row").max_rate, None);
    limiter.set_max_rate(None, millis(5_500));
    assert_eq!(limiter.row(3, millis(5_500)), None);
}

#[test]
fn an_endpoint_that_names_a_limit_of_nothing_is_never_asked_again() {
    let mut limiter = Limiter::new(7, 1);
    limiter.set_max_rate(Some(0.0), millis(1_000));
    let mut sent = 0;
    for now in (1_000..31_000).step_by(50) {
        limiter.refill(20, 1, millis(now));
        if limiter.allows() {
            limiter.record_sent(millis(now));
            sent += 1;
        }
    }
    assert!((1..=15).contains(&sent), "{sent}");
}

#[test]
fn a_limit_that_the_fleet_exceeds_has_a_permit_at_once() {
    let mut limiter = Limiter::new(7, 1);
    limiter.set_max_rate(Some(2.0), millis(10_000));
    limiter.learn(Some(&row(7, Some(2.0), 0, 14)), 4, millis(10_000));
    limiter.refill(5, 5, millis(10_100));
    assert!(!limiter.allows());
    let (wait, _) = limiter.next_permit();
    // Fourteen requests are 3.7 more than may be, and leave the span at two a second.
    assert!(wait >= millis(1_500) && wait <= millis(3_000), "{wait:?}");
}

#[test]
fn a_limit_beyond_all_measure_stops_an_endpoint_that_names_a_usual_one_later() {
    for huge in [f64::MAX, 1e300, 1e18] {
        let mut limiter = Limiter::new(7, 1);
        limiter.set_max_rate(Some(huge), millis(1_000));
        let mut sent = 0;
        for now in (1_000..11_000).step_by(50) {
            if now == 3_000 {
                limiter.set_max_rate(Some(5.0), millis(now));
            }
            limiter.refill(20, 1, millis(now));
            if limiter.allows() {
                limiter.record_sent(millis(now));
                sent += u32::from(now >= 7_000);
            }
        }
        assert!((16..=25).contains(&sent), "{sent} sent in 4 s after a limit of {huge}");
    }
}
