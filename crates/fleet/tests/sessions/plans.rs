//! Plans that move models while chats go on.

use std::path::Path;
use std::time::Instant;

use fleet::Chat;
use fleet::Outcome;
use standins::engine::Message;
use tokio::time::sleep;

use crate::scene::LONG;
use crate::scene::LOOK_INTERVAL;
use crate::scene::Scene;
use crate::scene::sample;

/// Rounds of chats after the last engine has unloaded, by which each entry has
/// met each engine.
const ROUNDS_AFTER: u32 = 40;

/// No chat is refused because an engine unloads a model that others keep. With
/// three attempts it takes as many engines that unload at the same moment, as once
/// happened to `failures_of_the_key_value_service_double_no_booking`; with one
/// attempt each chat at such an engine shows it.
#[ntex::test]
async fn chats_are_served_while_engines_unload() {
    let scene = Scene::bare().await;
    let text = std::fs::read_to_string(sample()).expect("the file");
    let intent = scene.write("once.toml", &text.replace("attempts = 3", "attempts = 1"));
    scene.fleet.operator.apply(Path::new(&intent)).expect("a plan in force");
    for entry in 0..scene.fleet.entries.len() {
        scene.serves(entry).await;
    }
    let start = Instant::now();
    let (mut round, mut after) = (0, 0);
    while after < ROUNDS_AFTER {
        ask_all(&scene, round).await;
        round += 1;
        after += u32::from(!scene.has_surplus());
        assert!(start.elapsed() < LONG, "engines hold what the plan doesn't assign to them");
        sleep(LOOK_INTERVAL).await;
    }
}

/// Sends a new chat of each service to each entry.
async fn ask_all(scene: &Scene, round: u32) {
    for entry in 0..scene.fleet.entries.len() {
        for (account, service) in [("clerks", "classify"), ("adjudicators", "brief")] {
            let first = Message::new("user", &format!("chat {round} of entry {entry}"));
            let chat = Chat::whole(service, vec![first], 1);
            let outcome = scene.caller(account).chat(scene.entry(entry), &chat).await;
            if let Outcome::Refused(refusal) = &outcome {
                assert!(!refusal.kind.ends_with(":missing"), "{service} {round}: {refusal:?}");
            }
        }
    }
}
