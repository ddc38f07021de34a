//! Plans that move models between engines while callers send chats.

use std::path::Path;
use std::time::Instant;

use fleet::Chat;
use fleet::Outcome;
use standins::engine::Message;
use tokio::time::sleep;

use crate::fixture::Fixture;
use crate::fixture::POLL_INTERVAL;
use crate::fixture::TIMEOUT;
use crate::fixture::sample_intent;

/// Rounds of chats after the last engine has unloaded, enough for each entry to
/// have sent requests to each engine.
const ROUNDS_AFTER_UNLOADING: u32 = 40;

/// Guards against chats refused because an engine unloads a model that other engines
/// keep. With three attempts the fault shows only if three engines unload at the same
/// time, as happened once in `no_booking_runs_twice_while_the_key_value_service_fails`.
/// With one attempt every chat that is sent to such an engine shows it.
#[ntex::test]
async fn chats_are_served_while_engines_unload() {
    let fixture = Fixture::start_unconfigured().await;
    let text = std::fs::read_to_string(sample_intent()).expect("the file");
    let intent = fixture.write_file("once.toml", &text.replace("attempts = 3", "attempts = 1"));
    fixture.fleet.operator.apply(Path::new(&intent)).expect("a plan in force");
    for entry in 0..fixture.fleet.entries.len() {
        fixture.wait_until_served(entry).await;
    }
    let start = Instant::now();
    let (mut round, mut after) = (0, 0);
    while after < ROUNDS_AFTER_UNLOADING {
        send_chats(&fixture, round).await;
        round += 1;
        after += u32::from(!fixture.has_unassigned_models());
        assert!(
            start.elapsed() < TIMEOUT,
            "engines hold models that the plan doesn't assign to them"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Sends a new chat of each service to each entry and checks that none is refused
/// because its model is missing.
async fn send_chats(fixture: &Fixture, round: u32) {
    for entry in 0..fixture.fleet.entries.len() {
        for (account, service) in [("clerks", "classify"), ("adjudicators", "brief")] {
            let first = Message::new("user", &format!("chat {round} of entry {entry}"));
            let chat = Chat::whole(service, vec![first], 1);
            let outcome = fixture.caller(account).chat(fixture.entry(entry), &chat).await;
            if let Outcome::Refused(refusal) = &outcome {
                assert!(!refusal.kind.ends_with(":missing"), "{service} {round}: {refusal:?}");
            }
        }
    }
}
