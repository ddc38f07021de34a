//! Tests of whether requests would reach the start of an endpoint that is known.

use std::time::Duration;

use policy::liveness::Liveness;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against requests to a start of another version that is not announced yet.
#[test]
fn an_endpoint_that_listens_again_gets_no_requests_while_its_start_may_be_announced() {
    let mut liveness = Liveness::default();
    assert!(liveness.is_running(SECOND));
    assert!(liveness.end());
    assert!(!liveness.is_running(SECOND * 100));
    liveness.listen(true, SECOND * 100);
    assert!(!liveness.is_running(SECOND * 102));
    // A later start that is announced has a value of its own.
    assert!(Liveness::default().is_running(SECOND * 102));
}

/// Guards against endpoints that get no more requests after they were out of reach.
#[test]
fn an_endpoint_that_was_out_of_reach_gets_requests_again() {
    let mut liveness = Liveness::default();
    liveness.end();
    liveness.listen(true, SECOND);
    assert!(liveness.is_running(SECOND + Duration::from_millis(2_200)));
}

/// Guards against endpoints that stay unused for as long as the store is away.
#[test]
fn no_announcement_is_awaited_while_none_can_be_read() {
    let mut away = Liveness::default();
    away.end();
    away.listen(false, SECOND);
    assert!(away.is_running(SECOND));

    let mut lost = Liveness::default();
    lost.end();
    lost.listen(true, SECOND);
    assert!(!lost.is_running(SECOND));
    lost.stop_waiting();
    assert!(lost.is_running(SECOND));

    let mut absent = Liveness::default();
    absent.end();
    absent.stop_waiting();
    assert!(!absent.is_running(SECOND));
}

/// Guards against a check for each of hundreds of streams that break off together.
#[test]
fn one_check_is_started_for_all_requests_that_break_off_together() {
    let mut liveness = Liveness::default();
    assert!(liveness.doubt());
    assert!(!liveness.doubt());
    assert!(liveness.is_running(SECOND));
    liveness.clear_doubt();
    assert!(liveness.doubt());
    assert!(liveness.end());
    assert!(!liveness.end());
    assert!(!liveness.doubt());
    liveness.clear_doubt();
    assert!(!liveness.is_running(SECOND));
}
