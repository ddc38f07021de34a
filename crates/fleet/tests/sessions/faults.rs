//! Two faults at once, and claims that expire while their holder is frozen.

use std::path::Path;
use std::time::Duration;

use fleet::Outcome;
use fleet::caller::Call;
use fleet::endpoint::Kind;
use futures_util::join;
use standins::key_value::Faults;
use tokio::time::sleep;

use crate::fixture::Fixture;
use crate::fixture::TIMEOUT;
use crate::load::Load;
use crate::summary::Summary;

/// Number of requests of each load.
const REQUESTS: usize = 300;
/// Ended requests after which the first fault begins.
const FIRST_FAULT_AT: usize = 80;
/// Ended requests after which the second fault begins.
const SECOND_FAULT_AT: usize = 120;
/// Ended requests after which those faults end that can be reversed.
const RECOVERY_AT: usize = 200;
/// Maximum time to wait for the progress of the load while a fault lasts, as all
/// callers may be blocked by it.
const FAULT_MAX_DURATION: Duration = Duration::from_secs(8);
/// Claim age; a call has to begin in the first half of it.
const CLAIM_AGE: Duration = Duration::from_secs(4);
/// Delay of each answer of the key-value service, so that an agent can be frozen
/// before it holds its claim.
const KEY_VALUE_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which the holder is frozen, longer than the lease of a claim, whose TTL
/// is five quarters of the claim age.
const FREEZE_DURATION: Duration = Duration::from_secs(6);

#[ntex::test]
async fn no_booking_runs_twice_if_an_agent_is_killed_during_a_key_value_outage() {
    let mut fixture = Fixture::start().await;
    let load = Load::new(&fixture, 41, REQUESTS);
    let progress = load.progress();
    fixture.delay_bookings().await;
    let index = fixture.first_endpoint(Kind::Plain);
    let url = fixture.fleet.key_value.url("/standin/faults");
    let fail = async {
        progress.wait_for(FIRST_FAULT_AT, TIMEOUT).await;
        fixture.wait_until_busy(index).await;
        let outage = Faults { outage: true, ..Faults::default() };
        fixture.client.post(&url, &outage).await.expect("the stand-in answers");
        fixture.fleet.endpoints[index].agent.process.kill();
        progress.wait_for(RECOVERY_AT, FAULT_MAX_DURATION).await;
        fixture.client.post(&url, &Faults::default()).await.expect("the stand-in answers");
    };
    let (exchanges, ()) = join!(load.run(), fail);
    let summary = Summary::check(&fixture, &exchanges, None).await;
    assert!(summary.violations.is_empty(), "{:#?}", summary.violations);
}

#[ntex::test]
async fn no_booking_runs_twice_if_an_entry_is_killed_while_an_agent_is_frozen() {
    let mut fixture = Fixture::start().await;
    let load = Load::new(&fixture, 42, REQUESTS);
    let progress = load.progress();
    fixture.delay_bookings().await;
    let index = fixture.first_endpoint(Kind::Plain);
    let fail = async {
        progress.wait_for(FIRST_FAULT_AT, TIMEOUT).await;
        fixture.wait_until_busy(index).await;
        fixture.fleet.endpoints[index].agent.process.freeze().expect("a running process");
        progress.wait_for(SECOND_FAULT_AT, FAULT_MAX_DURATION).await;
        fixture.fleet.entries[0].process.kill();
        progress.wait_for(RECOVERY_AT, FAULT_MAX_DURATION).await;
        fixture.fleet.endpoints[index].agent.process.resume().expect("a running process");
    };
    let (exchanges, ()) = join!(load.run(), fail);
    let summary = Summary::check(&fixture, &exchanges, Some(0)).await;
    assert!(summary.violations.is_empty(), "{:#?}", summary.violations);
}

#[ntex::test]
async fn an_agent_that_is_thawed_after_its_claim_expired_runs_nothing() {
    let mut fixture = Fixture::start().await;
    shorten_claims(&fixture).await;
    let holder = fixture.first_endpoint(Kind::Plain);
    fixture.fleet.endpoints[holder + 1].agent.process.kill();
    let url = fixture.fleet.key_value.url("/standin/faults");
    let slow = Faults { delay_ms: KEY_VALUE_DELAY.as_millis() as u64, ..Faults::default() };
    fixture.client.post(&url, &slow).await.expect("the stand-in answers");
    let freeze = async {
        sleep(KEY_VALUE_DELAY / 2).await;
        let agent = &fixture.fleet.endpoints[holder].agent.process;
        agent.freeze().expect("a running process");
        fixture.client.post(&url, &Faults::default()).await.expect("the stand-in answers");
        sleep(FREEZE_DURATION).await;
        agent.resume().expect("a running process");
    };
    let (first, ()) = join!(book(&fixture, 0), freeze);
    eprintln!("the frozen holder: {first:?}");
    let runs = fixture.runs().await.count("final");
    match &first {
        // The agent was frozen before it had asked for its claim.
        Outcome::Answer(_) => assert_eq!(runs, 1),
        Outcome::Refused(refusal) => {
            assert_eq!((refusal.ran.as_str(), runs), ("unknown", 0), "{refusal:?}");
        }
        Outcome::Failed(reason) => panic!("{reason}"),
    }
    let again = book(&fixture, 1).await;
    assert!(again.answer().is_some(), "{again:?} after {first:?}");
    assert_eq!(fixture.runs().await.count("final"), 1);
}

/// Puts the sample intent with the claim age [`CLAIM_AGE`] in force.
async fn shorten_claims(fixture: &Fixture) {
    let text = std::fs::read_to_string(crate::fixture::sample_intent()).expect("the file");
    let age = format!("[limit]\nclaim_age_s = {}", CLAIM_AGE.as_secs());
    let text = match text.contains("[limit]") {
        true => text.replace("[limit]", &age),
        false => format!("{text}\n{age}\n"),
    };
    let intent = fixture.write_file("short.toml", &text);
    fixture.apply(Path::new(&intent)).await;
}

/// Books a round with a fixed idempotency key through an entry.
fn book(fixture: &Fixture, entry: usize) -> impl Future<Output = Outcome> + use<> {
    let (caller, server) = (fixture.caller("clerks"), fixture.entry(entry));
    async move {
        let body = r#"{"round":"final","society":"Varna"}"#.to_owned();
        let call = Call { service: "registry", path: "/rounds", body, key: Some("k-1") };
        caller.call(server, &call).await
    }
}
