//! The key-value service is restored from a backup that lacks the latest confirmed
//! revision.

use serde_json::Value;
use serde_json::json;

use crate::fixture::Fixture;
use crate::fixture::sample_intent;
use crate::logs;

#[ntex::test]
async fn a_restored_backup_neither_reverts_the_configuration_nor_its_revisions() {
    let mut fixture = Fixture::start().await;
    let backup = version(&fixture).await;
    let text = std::fs::read_to_string(sample_intent()).expect("the file");
    let second = fixture.write_file("second.toml", &text.replace("worth = 20", "worth = 30"));
    confirm(&fixture, &second, 2);
    let restore = json!({ "revision": backup });
    let url = fixture.fleet.key_value.url("/standin/restore");
    fixture.client.post(&url, &restore).await.expect("the stand-in answers");
    let entry = &mut fixture.fleet.entries[1];
    entry.restart().expect("the entry starts");
    fixture.fleet.endpoints[0].agent.restart().expect("the agent starts");
    fixture.wait_until_ready().await;
    logs::check_revisions(&fixture, 2);
    let third = fixture.write_file("third.toml", &text.replace("worth = 20", "worth = 40"));
    confirm(&fixture, &third, 3);
    fixture.wait_until_ready().await;
    logs::check_revisions(&fixture, 3);
}

/// Returns the current version of the key-value service.
async fn version(fixture: &Fixture) -> u64 {
    let url = fixture.fleet.key_value.url("/kv-range?prefix=none");
    let answer: Value = fixture.client.json(&url).await.expect("an answer");
    answer["as_of"].as_u64().expect("a version")
}

/// Confirms a plan for an intent, waits until it is in force at all processes and
/// checks its revision.
fn confirm(fixture: &Fixture, intent: &str, revision: u64) {
    let plan = fixture.plan(intent);
    let confirmed = fixture.run_cli(&["confirm", &plan, "--wait", "60"]);
    assert!(
        confirmed.contains(&format!("revision {revision} is confirmed and in force")),
        "{confirmed}"
    );
}
