//! An endpoint leaves while callers go on.

use std::time::Instant;

use fleet::Chat;
use fleet::endpoint::Kind;
use fleet::metrics;
use standins::engine::Message;

use crate::scene::LONG;
use crate::scene::Scene;

/// Requests in a row without an attempt at the leaving agent, after which
/// entries are taken to send it none.
const STEADY: u32 = 100;

#[ntex::test]
async fn a_leaving_endpoint_gets_no_new_work() {
    let mut scene = Scene::start().await;
    let index = scene.first(Kind::Model);
    chats(&scene, 20).await;
    scene.fleet.mark_leaving(index, &scene.client).await.expect("the list answers");
    let start = Instant::now();
    let vm = scene.fleet.endpoints[index].agent.vm.vm.clone();
    until_told(&scene, &vm, start).await;
    let started = started(&scene, index).await;
    let before = attempts(&scene, index).await;
    let mut last = before;
    let mut quiet = 0;
    let mut until = start.elapsed();
    while quiet < STEADY {
        chats(&scene, 1).await;
        let now = attempts(&scene, index).await;
        quiet = if now > last { 0 } else { quiet + 1 };
        until = if now > last { start.elapsed() } else { until };
        last = now;
        assert!(start.elapsed() < LONG, "{now} attempts at the leaving agent");
    }
    let after = last - before;
    let refused = refused(&scene, index).await;
    println!(
        "the list said leaving: no attempt later than {until:?}, {after} attempts after an entry \
         knew, {refused} refused in all"
    );
    assert_eq!(self::started(&scene, index).await, started, "the engine got new work");
}

/// Sends chats through both entries in turns; each has to be answered.
async fn chats(scene: &Scene, count: usize) {
    for number in 0..count {
        for entry in 0..scene.fleet.entries.len() {
            let message = Message::new("user", &format!("chat {number} by {entry}"));
            for (account, service) in [("clerks", "classify"), ("adjudicators", "brief")] {
                let chat = Chat::whole(service, vec![message.clone()], 4);
                let outcome = scene.caller(account).chat(scene.entry(entry), &chat).await;
                assert!(outcome.answer().is_some(), "{outcome:?}");
            }
        }
    }
}

/// Waits until the agent itself says that it is leaving.
async fn until_told(scene: &Scene, vm: &str, start: Instant) {
    let told = format!(r#""{vm}""#);
    loop {
        let status = scene.operate(&["--json", "status"]);
        let member = status.split(&told).nth(1).unwrap_or_default();
        let member = member.split(r#""control""#).next().unwrap_or_default();
        if member.contains(r#""state":"leaving""#) {
            return;
        }
        assert!(start.elapsed() < LONG, "{status}");
        chats(scene, 1).await;
    }
}

/// Attempts that the agent of an endpoint has ended, refused ones too.
async fn attempts(scene: &Scene, endpoint: usize) -> f64 {
    let agent = &scene.fleet.endpoints[endpoint].agent;
    let text = scene.client.text(&agent.admin_url("/metrics")).await.expect("metrics");
    metrics::sum(&text, "lycheeknot_agent_attempts_total").unwrap_or_default()
}

/// Attempts that the agent of an endpoint refused.
async fn refused(scene: &Scene, endpoint: usize) -> f64 {
    let agent = &scene.fleet.endpoints[endpoint].agent;
    let text = scene.client.text(&agent.admin_url("/metrics")).await.expect("metrics");
    let lines: Vec<&str> = text.lines().filter(|line| line.contains("refused")).collect();
    metrics::sum(&lines.join("\n"), "lycheeknot_agent_attempts_total").unwrap_or_default()
}

/// Requests that the engine of an endpoint has taken in.
async fn started(scene: &Scene, endpoint: usize) -> u64 {
    let engine = &scene.fleet.endpoints[endpoint].engine;
    let counts: standins::engine::Counts =
        scene.client.json(&engine.url("/standin/counts")).await.expect("the stand-in answers");
    counts.accepted
}
