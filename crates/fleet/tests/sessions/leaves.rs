//! An endpoint leaves the deployment while callers send requests.

use std::time::Instant;

use fleet::Chat;
use fleet::endpoint::Kind;
use fleet::metrics;
use standins::engine::Message;

use crate::fixture::Fixture;
use crate::fixture::TIMEOUT;

/// Consecutive rounds of chats without an attempt at the leaving agent after which
/// entries count as having stopped using it.
const QUIET_ROUNDS: u32 = 100;

#[ntex::test]
async fn a_leaving_endpoint_gets_no_new_requests() {
    let mut fixture = Fixture::start().await;
    let index = fixture.first_endpoint(Kind::Model);
    send_chats(&fixture, 20).await;
    fixture.fleet.mark_leaving(index, &fixture.client).await.expect("the VM list answers");
    let start = Instant::now();
    let vm = fixture.fleet.endpoints[index].agent.vm.vm.clone();
    wait_until_leaving(&fixture, &vm, start).await;
    let accepted = accepted(&fixture, index).await;
    let before = attempts(&fixture, index).await;
    let mut last = before;
    let mut quiet = 0;
    let mut last_attempt = start.elapsed();
    while quiet < QUIET_ROUNDS {
        send_chats(&fixture, 1).await;
        let now = attempts(&fixture, index).await;
        quiet = if now > last { 0 } else { quiet + 1 };
        last_attempt = if now > last { start.elapsed() } else { last_attempt };
        last = now;
        assert!(start.elapsed() < TIMEOUT, "{now} attempts at the leaving agent");
    }
    let after = last - before;
    let refused = refused(&fixture, index).await;
    println!(
        "after the VM list showed the VM as leaving: no attempt later than {last_attempt:?}, {after} \
         attempts after the status showed it, {refused} refused in total"
    );
    assert_eq!(self::accepted(&fixture, index).await, accepted, "the engine got new requests");
}

/// Sends `count` chats of each service through each entry and checks that all are
/// answered.
async fn send_chats(fixture: &Fixture, count: usize) {
    for number in 0..count {
        for entry in 0..fixture.fleet.entries.len() {
            let message = Message::new("user", &format!("chat {number} by {entry}"));
            for (account, service) in [("clerks", "classify"), ("adjudicators", "brief")] {
                let chat = Chat::whole(service, vec![message.clone()], 4);
                let outcome = fixture.caller(account).chat(fixture.entry(entry), &chat).await;
                assert!(outcome.answer().is_some(), "{outcome:?}");
            }
        }
    }
}

/// Sends chats until the status shows the VM as leaving.
async fn wait_until_leaving(fixture: &Fixture, vm: &str, start: Instant) {
    let name = format!(r#""{vm}""#);
    loop {
        let status = fixture.run_cli(&["--json", "status"]);
        let member = status.split(&name).nth(1).unwrap_or_default();
        let member = member.split(r#""control""#).next().unwrap_or_default();
        if member.contains(r#""state":"leaving""#) {
            return;
        }
        assert!(start.elapsed() < TIMEOUT, "{status}");
        send_chats(fixture, 1).await;
    }
}

/// Returns the number of attempts that the agent of an endpoint has ended, refused
/// ones included.
async fn attempts(fixture: &Fixture, endpoint: usize) -> f64 {
    let agent = &fixture.fleet.endpoints[endpoint].agent;
    let text = fixture.client.text(&agent.admin_url("/metrics")).await.expect("metrics");
    metrics::sum(&text, "lycheeknot_agent_attempts_total").unwrap_or_default()
}

/// Returns the number of attempts that the agent of an endpoint refused.
async fn refused(fixture: &Fixture, endpoint: usize) -> f64 {
    let agent = &fixture.fleet.endpoints[endpoint].agent;
    let text = fixture.client.text(&agent.admin_url("/metrics")).await.expect("metrics");
    let lines: Vec<&str> = text.lines().filter(|line| line.contains("refused")).collect();
    metrics::sum(&lines.join("\n"), "lycheeknot_agent_attempts_total").unwrap_or_default()
}

/// Returns the number of requests that the engine of an endpoint has accepted.
async fn accepted(fixture: &Fixture, endpoint: usize) -> u64 {
    let engine = &fixture.fleet.endpoints[endpoint].engine;
    let counts: standins::engine::Counts =
        fixture.client.json(&engine.url("/standin/counts")).await.expect("the stand-in answers");
    counts.accepted
}
