//! Tests of endpoints that are cold. The service takes four requests a second then, and a second of
//! its cold time may have eleven.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use gateway::Member;
use tokio_util::sync::CancellationToken;

use crate::limits::press;
use crate::loads::member;
use crate::loads::peers;
use crate::loads::share_loads;
use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::full_response;

/// Most requests in a second.
const ALLOWED: usize = 11;

fn endpoint(id: &str) -> Endpoint {
    Endpoint::start(id, vec![full_response("200 OK", "ok")])
}

/// Returns the most of these times that lie within any second.
fn most_in_a_second(times: &[Instant]) -> usize {
    let is_within = |from: &Instant, time: &Instant| {
        time >= from && time.duration_since(*from) < Duration::from_secs(1)
    };
    let counts = times.iter().map(|from| times.iter().filter(|it| is_within(from, it)).count());
    counts.max().unwrap_or_default()
}

#[test]
fn a_cold_endpoint_gets_more_requests_than_it_bears() {
    let endpoint = endpoint("e1");
    let fixture = Fixture::with_slow_start("plain", &[&endpoint]);
    fixture.announce_cold("plain", &endpoint, 2_500, 2);
    let (answered, refusals) = press(fixture.address, Duration::from_secs(2));
    assert!(most_in_a_second(&answered) <= ALLOWED, "{} answered", answered.len());
    assert!(answered.len() >= 5, "{} answered", answered.len());
    let slowest = refusals.iter().max().expect("a refusal");
    assert!(*slowest < Duration::from_millis(150), "a refusal took {slowest:?}");
    // Once it is warm and its rate has grown, it takes all.
    thread::sleep(Duration::from_millis(1_500));
    let (_, refusals) = press(fixture.address, Duration::from_millis(500));
    assert!(refusals.is_empty(), "{} refusals", refusals.len());
}

#[test]
fn gateways_send_together_more_than_a_cold_endpoint_bears() {
    let endpoint = endpoint("e1");
    let start = || Fixture::with_slow_start("plain", &[&endpoint]);
    let fixtures: Vec<Fixture> = (0..5).map(|_| start()).collect();
    let members: Vec<Member> = (0..5).map(|vm| member(&format!("g{vm}"), 10)).collect();
    let cancel = CancellationToken::new();
    let _cancel_on_drop = cancel.clone().drop_guard();
    for (index, fixture) in fixtures.iter().enumerate() {
        share_loads(&peers(&fixture.routing, &members, index), members[index].address, &cancel);
    }
    thread::sleep(Duration::from_millis(500));
    // One of them doesn't learn it from the endpoint.
    for fixture in &fixtures[1..] {
        fixture.announce_cold("plain", &endpoint, 6_000, 2);
    }
    let press = |fixture: &Fixture, time| {
        let address = fixture.address;
        thread::spawn(move || press(address, time).0)
    };
    let pressing: Vec<_> =
        fixtures[1..].iter().map(|it| press(it, Duration::from_millis(5_000))).collect();
    thread::sleep(Duration::from_millis(1_500));
    let late = press(&fixtures[0], Duration::from_millis(3_500));
    let threads = pressing.into_iter().chain([late]);
    let mut times: Vec<Instant> =
        threads.flat_map(|thread| thread.join().expect("requests")).collect();
    times.sort_unstable();
    let most = most_in_a_second(&times);
    assert!(most <= ALLOWED, "{most} in a second");
    assert!(times.len() >= 8, "only {} of 20 were sent", times.len());
}

#[test]
fn requests_wait_for_a_cold_endpoint_though_another_one_is_warm() {
    let (cold, warm) = (endpoint("e1"), endpoint("e2"));
    let fixture = Fixture::with_slow_start("plain", &[&cold, &warm]);
    fixture.announce_cold("plain", &cold, 5_000, 2);
    let (_, refusals) = press(fixture.address, Duration::from_secs(1));
    assert!(refusals.is_empty(), "{} refusals", refusals.len());
    assert!(cold.seen().len() <= ALLOWED, "the cold endpoint got {}", cold.seen().len());
}

#[test]
fn an_old_announcement_ends_the_cold_time() {
    let endpoint = endpoint("e1");
    let fixture = Fixture::with_slow_start("plain", &[&endpoint]);
    fixture.announce_cold("plain", &endpoint, 5_000, 3);
    fixture.announce_cold("plain", &endpoint, 0, 2);
    let (_, refusals) = press(fixture.address, Duration::from_millis(1_500));
    assert!(!refusals.is_empty());
    // A permit may be due for one of two requests that come together, but not for both.
    let request = format!("GET /look/1 HTTP/1.1\r\n{REQUEST_HEADERS}\r\n");
    let mut clients = [0, 1].map(|_| Client::connect(fixture.address));
    clients.iter_mut().for_each(|client| client.send(&request));
    let responses = clients.map(|mut client| client.read());
    let is_refused = |response: &&String| response.contains("all endpoints are starting");
    assert!(responses.iter().filter(is_refused).count() >= 1, "{responses:#?}");
    // A later one that calls it warm does; its rate grows for two thirds of a second.
    fixture.announce_cold("plain", &endpoint, 0, 4);
    thread::sleep(Duration::from_secs(1));
    let (_, refusals) = press(fixture.address, Duration::from_millis(500));
    assert!(refusals.is_empty(), "{} refusals", refusals.len());
}

#[test]
fn cold_endpoints_are_held_back_without_settings() {
    let endpoint = endpoint("e1");
    let fixture = Fixture::new("plain", &[&endpoint]);
    fixture.announce_cold("plain", &endpoint, 5_000, 2);
    let (_, refusals) = press(fixture.address, Duration::from_millis(500));
    assert!(refusals.is_empty(), "{} refusals", refusals.len());
}
