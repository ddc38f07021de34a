//! Processes are killed in the middle of a load.

use fleet::Outcome;
use fleet::endpoint::Kind;
use futures_util::join;

use crate::fixture::Fixture;
use crate::fixture::TIMEOUT;
use crate::load::Load;
use crate::summary::Summary;

/// Number of requests of each load.
const REQUESTS: usize = 300;
/// Ended requests after which the process is killed.
const KILL_AT: usize = 100;

#[ntex::test]
async fn a_killed_entry_causes_no_wrong_answers_or_inaccurate_errors() {
    let mut fixture = Fixture::start().await;
    let load = Load::new(&fixture, 11, REQUESTS);
    let progress = load.progress();
    let kill = async {
        progress.wait_for(KILL_AT, TIMEOUT).await;
        fixture.fleet.entries[0].process.kill();
    };
    let (exchanges, ()) = join!(load.run(), kill);
    let summary = Summary::check(&fixture, &exchanges, Some(0)).await;
    assert!(summary.violations.is_empty(), "{:#?}", summary.violations);
    assert!(summary.disconnected > 0 && summary.correct > REQUESTS / 2, "{summary:?}");
}

#[ntex::test]
async fn a_killed_model_agent_causes_no_wrong_answers_or_inaccurate_errors() {
    check_kill(Kind::Model, 12).await;
}

#[ntex::test]
async fn a_killed_plain_agent_causes_no_wrong_answers_or_inaccurate_errors() {
    check_kill(Kind::Plain, 13).await;
}

/// Kills the first agent of a kind during a load and checks all outcomes.
///
/// Answers that had begun at the killed agent must end with an error, since another
/// engine would generate other words. All other chats must be answered.
async fn check_kill(kind: Kind, seed: u64) {
    let mut fixture = Fixture::start().await;
    let load = Load::new(&fixture, seed, REQUESTS);
    let progress = load.progress();
    fixture.delay_bookings().await;
    let index = fixture.first_endpoint(kind);
    let kill = async {
        progress.wait_for(KILL_AT, TIMEOUT).await;
        fixture.wait_until_busy(index).await;
        let before = fixture.counts_at(index).await;
        fixture.fleet.endpoints[index].agent.process.freeze().expect("a running process");
        let after = fixture.counts_at(index).await;
        fixture.fleet.endpoints[index].agent.process.kill();
        // All generations that ran or waited before, or were accepted until the freeze.
        before.running + before.waiting + (after.accepted - before.accepted) as usize
    };
    let (exchanges, running) = join!(load.run(), kill);
    let summary = Summary::check(&fixture, &exchanges, None).await;
    assert!(summary.violations.is_empty(), "{:#?}", summary.violations);
    let chats = exchanges.iter().filter(|exchange| !exchange.job.is_booking());
    let failed: Vec<_> =
        chats.map(|exchange| &exchange.outcome).filter(|chat| chat.answer().is_none()).collect();
    let is_cut = |chat: &&Outcome| matches!(chat, Outcome::Failed(_));
    assert!(
        failed.iter().all(is_cut) && failed.len() <= running,
        "{running} ran or waited: {failed:#?}"
    );
}
