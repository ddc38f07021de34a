//! Processes are frozen in the middle of a load and thawed later.

use std::time::Duration;

use fleet::endpoint::Kind;
use futures_util::join;

use crate::fixture::Fixture;
use crate::fixture::TIMEOUT;
use crate::load::Load;
use crate::summary::Summary;

/// Number of requests of each load.
const REQUESTS: usize = 300;
/// Ended requests after which the process is frozen.
const FREEZE_AT: usize = 80;
/// Ended requests after which the process is thawed.
const THAW_AT: usize = 200;
/// Maximum time until the process is thawed, as all callers may wait for it.
const FREEZE_MAX_DURATION: Duration = Duration::from_secs(8);

#[ntex::test]
async fn a_frozen_model_agent_causes_no_wrong_answers_or_inaccurate_errors() {
    check_freeze(Kind::Model, 21).await;
}

#[ntex::test]
async fn a_frozen_plain_agent_causes_no_wrong_answers_or_inaccurate_errors() {
    check_freeze(Kind::Plain, 22).await;
}

/// Freezes the first agent of a kind during a load and checks all outcomes.
async fn check_freeze(kind: Kind, seed: u64) {
    let fixture = Fixture::start().await;
    let load = Load::new(&fixture, seed, REQUESTS);
    let progress = load.progress();
    fixture.delay_bookings().await;
    let index = fixture.first_endpoint(kind);
    let agent = &fixture.fleet.endpoints[index].agent.process;
    let freeze = async {
        progress.wait_for(FREEZE_AT, TIMEOUT).await;
        fixture.wait_until_busy(index).await;
        agent.freeze().expect("a running process");
        progress.wait_for(THAW_AT, FREEZE_MAX_DURATION).await;
        agent.resume().expect("a running process");
    };
    let (exchanges, ()) = join!(load.run(), freeze);
    let summary = Summary::check(&fixture, &exchanges, None).await;
    assert!(summary.violations.is_empty(), "{:#?}", summary.violations);
}
