//! The key-value service fails while bookings are made.

use std::time::Duration;

use fleet::Outcome;
use futures_util::join;
use standins::key_value::Faults;

use crate::fixture::Fixture;
use crate::fixture::TIMEOUT;
use crate::load::Load;
use crate::summary::Summary;

/// Number of requests of each load.
const REQUESTS: usize = 300;
/// Ended requests after which the fault begins.
const FAULT_AT: usize = 80;
/// Ended requests after which the fault ends.
const RECOVERY_AT: usize = 200;
/// Maximum time until the fault ends, as all callers may be blocked by it.
const FAULT_MAX_DURATION: Duration = Duration::from_secs(8);

#[ntex::test]
async fn no_booking_runs_twice_while_the_key_value_service_fails() {
    let fixture = Fixture::start().await;
    check_load_with(&fixture, Faults { outage: true, ..Faults::default() }, 31).await;
    check_load_with(&fixture, Faults { lose_answers: 20, ..Faults::default() }, 32).await;
    check_load_with(&fixture, Faults { delay_ms: 300, ..Faults::default() }, 33).await;
}

/// Runs a load during which the key-value service has faults, and checks that no
/// booking ran twice and that chats are served.
async fn check_load_with(fixture: &Fixture, faults: Faults, seed: u64) {
    let load = Load::new(fixture, seed, REQUESTS);
    let progress = load.progress();
    let url = fixture.fleet.key_value.url("/standin/faults");
    let fail = async {
        progress.wait_for(FAULT_AT, TIMEOUT).await;
        fixture.client.post(&url, &faults).await.expect("the stand-in answers");
        progress.wait_for(RECOVERY_AT, FAULT_MAX_DURATION).await;
        fixture.client.post(&url, &Faults::default()).await.expect("the stand-in answers");
    };
    let (exchanges, ()) = join!(load.run(), fail);
    let summary = Summary::check(fixture, &exchanges, None).await;
    assert!(summary.violations.is_empty(), "{faults:?}: {:#?}", summary.violations);
    let mut chats = exchanges.iter().filter(|exchange| !exchange.job.is_booking());
    let failed = chats.find(|exchange| !is_served_or_bound(&exchange.outcome));
    assert!(failed.is_none(), "chats don't need the key-value service: {failed:?}");
}

/// Returns whether a chat was answered or refused because of the load bound, which
/// the `bounds` module tests.
fn is_served_or_bound(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answer(_) => true,
        Outcome::Refused(refusal) => refusal.kind.ends_with(":bound"),
        Outcome::Failed(_) => false,
    }
}
