//! A whole data centre is partitioned from the others and comes back.
//!
//! The partition is made by freezing the processes of the data centre, so this
//! test does not cover what they would do during it; the module `cuts` of
//! `policy --test gossip` does.

use std::time::Instant;

use fleet::Chat;
use fleet::Node;
use fleet::metrics;
use standins::engine::Message;
use tokio::time::sleep;

use crate::fixture::Fixture;
use crate::fixture::POLL_INTERVAL;
use crate::fixture::TIMEOUT;
use crate::fixture::sample_intent;
use crate::logs;

/// The partitioned data centre, with an entry, two model engines and a registry.
const PARTITIONED_CENTRE: &str = "s2";

/// Consecutive answers after which the first entry counts as having detected
/// the partition.
const CONSECUTIVE_ANSWERS: u32 = 40;

#[ntex::test]
async fn a_partitioned_data_centre_rejoins_and_catches_up() {
    let fixture = Fixture::start().await;
    let (partitioned, rest): (Vec<&Node>, Vec<&Node>) =
        fixture.fleet.nodes().partition(|node| node.vm.centre == PARTITIONED_CENTRE);
    for node in &partitioned {
        node.process.freeze().expect("a running process");
    }
    wait_for_consecutive_answers(&fixture).await;
    confirm_second(&fixture);
    wait_until_in_force(&fixture, &rest, 2.0).await;
    for node in &partitioned {
        node.process.resume().expect("a running process");
    }
    let all: Vec<&Node> = fixture.fleet.nodes().collect();
    wait_until_in_force(&fixture, &all, 2.0).await;
    fixture.wait_until_ready().await;
    for entry in 0..fixture.fleet.entries.len() {
        fixture.wait_until_served(entry).await;
    }
    logs::check_revisions(&fixture, 2);
}

/// Waits until the first entry has answered [`CONSECUTIVE_ANSWERS`] chats.
async fn wait_for_consecutive_answers(fixture: &Fixture) {
    let start = Instant::now();
    let mut answered = 0;
    for number in 0.. {
        let message = Message::new("user", &format!("chat {number} during the cut"));
        let chat = Chat::whole("classify", vec![message], 4);
        let outcome = fixture.caller("clerks").chat(fixture.entry(0), &chat).await;
        answered = if outcome.answer().is_some() { answered + 1 } else { 0 };
        if answered == CONSECUTIVE_ANSWERS {
            return;
        }
        assert!(start.elapsed() < TIMEOUT, "{outcome:?}");
    }
}

/// Confirms a plan with another worth of a rank, as revision 2, and does not wait
/// until processes have it in force.
fn confirm_second(fixture: &Fixture) {
    let text = std::fs::read_to_string(sample_intent()).expect("the file");
    let intent = fixture.write_file("next.toml", &text.replace("worth = 20", "worth = 30"));
    let plan = fixture.plan(&intent);
    let confirmed = fixture.run_cli(&["confirm", &plan]);
    assert!(confirmed.contains("is confirmed"), "{confirmed}");
}

/// Waits until the metrics of all nodes show a configuration revision.
async fn wait_until_in_force(fixture: &Fixture, nodes: &[&Node], revision: f64) {
    let start = Instant::now();
    for node in nodes {
        loop {
            let text = fixture.client.text(&node.admin_url("/metrics")).await.unwrap_or_default();
            let seen = metrics::sum(&text, "lycheeknot_configuration_revision");
            if seen == Some(revision) {
                break;
            }
            assert!(start.elapsed() < TIMEOUT, "{} has {seen:?}", node.vm.vm);
            sleep(POLL_INTERVAL).await;
        }
    }
}
