//! Invariants of outlier ejection: thresholds, probes and the share of ejected engines.

use std::time::Duration;

use policy::outlier::Outliers;
use policy::outlier::Verdict;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

const FAST: Duration = Duration::from_millis(2);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn fail(outliers: &mut Outliers, engine: &str, times: u32, now: Duration) {
    for _ in 0..times {
        outliers.record_failure(engine, now);
    }
}

fn verdict(outliers: &Outliers, engine: &str, now: Duration) -> Verdict {
    let index = NAMES.partition_point(|name| *name < engine);
    outliers.verdicts(&NAMES, now)[index]
}

/// A fixed seed, so that each run has the same cases.
fn fixed() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(4);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn at_most_a_third_is_ejected(
        events in prop::collection::vec((0usize..6, any::<bool>(), 0u64..3), 1..200),
        holders in 1usize..6,
    ) {
        let mut outliers = Outliers::default();
        let mut now = Duration::ZERO;
        for (engine, works, pause) in events {
            now += seconds(pause);
            match works {
                true => {
                    outliers.record_answer(NAMES[engine], FAST, now);
                }
                false => fail(&mut outliers, NAMES[engine], 3, now),
            }
            let verdicts = outliers.verdicts(&NAMES[..holders], now);
            let ejected = verdicts.iter().filter(|verdict| **verdict == Verdict::Ejected).count();
            prop_assert!(ejected <= holders / 3);
        }
    }
}

#[test]
fn consecutive_failures_eject() {
    let mut outliers = Outliers::default();
    fail(&mut outliers, "a", 2, seconds(0));
    outliers.record_answer("a", FAST, seconds(0));
    fail(&mut outliers, "a", 2, seconds(0));
    assert_eq!(verdict(&outliers, "a", seconds(0)), Verdict::Available);
    assert!(outliers.record_failure("a", seconds(0)));
    assert_eq!(verdict(&outliers, "a", seconds(0)), Verdict::Ejected);
}

#[test]
fn a_single_request_probes_and_its_failure_doubles_the_ejection() {
    let mut outliers = Outliers::default();
    fail(&mut outliers, "a", 3, seconds(0));
    assert_eq!(verdict(&outliers, "a", seconds(1)), Verdict::Probe);
    assert!(outliers.try_probe("a", seconds(1)));
    assert!(!outliers.try_probe("a", seconds(1)));
    assert_eq!(verdict(&outliers, "a", seconds(1)), Verdict::Ejected);
    outliers.record_failure("a", seconds(1));
    assert_eq!(verdict(&outliers, "a", seconds(2)), Verdict::Ejected);
    assert_eq!(verdict(&outliers, "a", seconds(3)), Verdict::Probe);
    assert!(outliers.try_probe("a", seconds(3)));
    outliers.record_answer("a", FAST, seconds(3));
    assert_eq!(verdict(&outliers, "a", seconds(3)), Verdict::Available);
}

#[test]
fn a_probe_that_does_not_end_times_out() {
    let mut outliers = Outliers::default();
    fail(&mut outliers, "a", 3, seconds(0));
    assert!(outliers.try_probe("a", seconds(1)));
    assert_eq!(verdict(&outliers, "a", seconds(5)), Verdict::Ejected);
    assert_eq!(verdict(&outliers, "a", seconds(6)), Verdict::Probe);
}

#[test]
fn a_slow_engine_is_ejected_until_a_probe_is_fast() {
    let mut outliers = Outliers::default();
    for _ in 0..20 {
        for name in &NAMES[1..] {
            outliers.record_answer(name, FAST, seconds(0));
        }
    }
    for _ in 0..10 {
        assert_eq!(verdict(&outliers, "a", seconds(0)), Verdict::Available);
        outliers.record_answer("a", Duration::from_millis(400), seconds(0));
    }
    assert_eq!(verdict(&outliers, "a", seconds(0)), Verdict::Ejected);
    assert!(outliers.try_probe("a", seconds(1)));
    outliers.record_answer("a", Duration::from_millis(400), seconds(1));
    assert_eq!(verdict(&outliers, "a", seconds(2)), Verdict::Ejected);
    assert!(outliers.try_probe("a", seconds(3)));
    outliers.record_answer("a", FAST, seconds(3));
    assert_eq!(verdict(&outliers, "a", seconds(3)), Verdict::Available);
}

#[test]
fn if_all_engines_are_slow_none_is_an_outlier() {
    let mut outliers = Outliers::default();
    for _ in 0..20 {
        for name in NAMES {
            outliers.record_answer(name, seconds(1), seconds(0));
        }
    }
    assert!(
        outliers.verdicts(&NAMES, seconds(0)).iter().all(|verdict| *verdict == Verdict::Available)
    );
}

#[test]
fn a_failing_engine_is_reported_even_where_none_may_be_ejected() {
    let mut outliers = Outliers::default();
    assert!(!outliers.is_failing("a"));
    fail(&mut outliers, "a", 3, seconds(0));
    assert_eq!(outliers.verdicts(&["a"], seconds(0)), [Verdict::Available]);
    assert!(outliers.is_failing("a"));
    outliers.record_answer("a", FAST, seconds(1));
    assert!(!outliers.is_failing("a"));
}
