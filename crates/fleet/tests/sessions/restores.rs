//! The key-value service comes back with less than was accepted.

use serde_json::Value;
use serde_json::json;

use crate::logs;
use crate::scene::Scene;
use crate::scene::sample;

#[ntex::test]
async fn what_was_accepted_stays_in_force_and_the_next_confirm_goes_on_from_it() {
    let mut scene = Scene::start().await;
    let backup = version(&scene).await;
    let text = std::fs::read_to_string(sample()).expect("the file");
    let second = scene.write("second.toml", &text.replace("worth = 20", "worth = 30"));
    confirm(&scene, &second, 2);
    let restore = json!({ "revision": backup });
    let url = scene.fleet.key_value.url("/standin/restore");
    scene.client.post(&url, &restore).await.expect("the stand-in answers");
    let entry = &mut scene.fleet.entries[1];
    entry.restart().expect("the entry starts");
    scene.fleet.endpoints[0].agent.restart().expect("the agent starts");
    scene.settle().await;
    logs::check(&scene, 2);
    let third = scene.write("third.toml", &text.replace("worth = 20", "worth = 40"));
    confirm(&scene, &third, 3);
    scene.settle().await;
    logs::check(&scene, 3);
}

/// The version of the key-value service's state.
async fn version(scene: &Scene) -> u64 {
    let url = scene.fleet.key_value.url("/kv-range?prefix=none");
    let answer: Value = scene.client.json(&url).await.expect("an answer");
    answer["as_of"].as_u64().expect("a version")
}

/// Confirms an intent and waits until it is in force everywhere.
fn confirm(scene: &Scene, intent: &str, revision: u64) {
    let plan = scene.plan(intent);
    let confirmed = scene.operate(&["confirm", &plan, "--wait", "60"]);
    assert!(
        confirmed.contains(&format!("revision {revision} is confirmed and in force")),
        "{confirmed}"
    );
}
