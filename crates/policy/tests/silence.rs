//! Tests of the time after which an attempt at a silent endpoint is abandoned.

use std::time::Duration;

use policy::silence;
use policy::silence::Times;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the usual time after these times.
fn usual(times: impl IntoIterator<Item = u64>) -> Option<Duration> {
    let mut known = Times::default();
    times.into_iter().for_each(|time| known.record(millis(time)));
    known.usual()
}

#[test]
fn nothing_is_usual_before_some_answers_came() {
    assert_eq!(usual([60; 19]), None);
    assert_eq!(usual([60; 20]), Some(millis(60)));
}

/// Guards against noise, where 15 in 100 responses take 2.5 times as long, and against an endpoint
/// of three that is silent to 45 in 100: neither changes what is usual.
#[test]
fn a_sixth_of_slow_answers_changes_nothing() {
    let noisy = (0..200).map(|index| if index % 20 < 3 { 150 } else { 60 });
    assert_eq!(usual(noisy), Some(millis(60)));
    let silent = (0..200).map(|index| if index % 20 < 3 { 400 } else { 60 });
    assert_eq!(usual(silent), Some(millis(60)));
}

/// Guards against abandoning all requests of a service that is slow as a whole.
#[test]
fn a_service_that_becomes_slow_is_given_more_time() {
    let times = [60; 100].into_iter().chain([400; 30]);
    assert_eq!(usual(times), Some(millis(400)));
    assert_eq!(silence::abandon_after(millis(400), millis(8_000)), Some(millis(2_400)));
}

#[test]
fn an_attempt_is_only_abandoned_if_another_one_has_time() {
    for (usual, left, wait) in [
        (10, 800, Some(400)),
        (10, 500, Some(400)),
        (10, 499, None),
        (100, 800, Some(600)),
        (101, 800, None),
        (500, 8_000, Some(3_000)),
        (1_001, 8_000, None),
    ] {
        assert_eq!(silence::abandon_after(millis(usual), millis(left)), wait.map(millis));
    }
}
