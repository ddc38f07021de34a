//! Tests of requests that crash each endpoint that begins to answer them.

use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use gateway::Member;
use tokio_util::sync::CancellationToken;

use crate::address::free_address;
use crate::loads::member;
use crate::loads::peers;
use crate::loads::share_loads;
use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::full_response;
use crate::support::script::stream_start;
use crate::support::script::wait_until;

/// Endpoints that may crash by a part before no more requests with it are sent.
const MAX_CRASHES: usize = 5;

/// Endpoints that may crash by one request: three, and one for each of three retries.
const MAX_CRASHES_BY_ONE: usize = 6;

/// The part of a prompt that crashes endpoints.
const HARMFUL: &str = "bad";

#[test]
fn requests_with_a_part_that_crashes_endpoints_are_refused_and_others_are_served() {
    let endpoints: Vec<Endpoint> =
        (0..8).map(|number| Endpoint::start_fragile(&format!("e{number}"), HARMFUL)).collect();
    let fixture = Fixture::new("model", &endpoints.iter().collect::<Vec<_>>());
    for number in 0..12 {
        // No two of them share another part than the first one.
        exchange(&fixture, &format!("aa:10,b{number}:10,{HARMFUL}:10,c{number}:10"));
        await_crashes(&endpoints);
        let sound = exchange(&fixture, &format!("aa:10,b{number}:10,d{number}:10"));
        assert!(sound.ends_with("\n0\n\n"), "{sound}");
        // An endpoint's listener closes a little after its connections.
        thread::sleep(Duration::from_millis(100));
    }
    let crashed = endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count();
    assert!(crashed <= MAX_CRASHES, "{crashed} endpoints crashed");
    let response = exchange(&fixture, &format!("aa:10,{HARMFUL}:10,c:10"));
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
}

#[test]
fn a_stream_is_not_resumed_once_its_part_is_known_to_crash_endpoints() {
    let endpoints: Vec<Endpoint> =
        (0..8).map(|number| Endpoint::start_fragile(&format!("e{number}"), HARMFUL)).collect();
    let fixture = Fixture::new("model", &endpoints.iter().collect::<Vec<_>>());
    for number in 0..12 {
        let parts = format!("aa:10,{HARMFUL}:10,b{number}:10,c:10");
        request(&fixture, "tell", &parts);
        thread::sleep(Duration::from_millis(100));
    }
    let crashed = endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count();
    assert!(crashed <= MAX_CRASHES, "{crashed} endpoints crashed");
}

#[test]
fn endpoints_that_break_off_streams_but_live_on_quarantine_nothing() {
    let script = vec![stream_start(), Step::Pause(30), Step::Reset];
    let endpoints: Vec<Endpoint> =
        (0..6).map(|number| Endpoint::start(&format!("e{number}"), vec![script.clone()])).collect();
    let fixture = Fixture::new("model", &endpoints.iter().collect::<Vec<_>>());
    for number in 0..12 {
        let response = exchange(&fixture, &format!("aa:10,{HARMFUL}:10,b{number}:10,c:10"));
        assert!(!response.contains("has crashed endpoints"), "{response}");
        thread::sleep(Duration::from_millis(100));
    }
    let used = endpoints.iter().filter(|endpoint| !endpoint.seen().is_empty()).count();
    assert!(used >= 3, "only {used} endpoints got a request");
}

#[test]
fn gateways_that_saw_too_few_crashes_each_refuse_the_part_together() {
    let endpoints: Vec<Endpoint> =
        (0..8).map(|number| Endpoint::start_fragile(&format!("e{number}"), HARMFUL)).collect();
    let shown: Vec<&Endpoint> = endpoints.iter().collect();
    let fixtures: Vec<Fixture> = (0..4).map(|_| Fixture::new("model", &shown)).collect();
    let cancel = connect(&fixtures);
    for (number, fixture) in fixtures.iter().take(3).enumerate() {
        let sound = exchange(fixture, &format!("aa:10,b{number}:10,d:10"));
        assert!(sound.ends_with("\n0\n\n"), "{sound}");
        exchange(fixture, &format!("aa:10,{HARMFUL}:10,b{number}:10,c:10"));
        await_crashes(&endpoints);
    }
    let crashed = endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count();
    assert_eq!(crashed, 3);
    thread::sleep(Duration::from_millis(1_000));
    for fixture in &fixtures {
        let response = exchange(fixture, &format!("aa:10,{HARMFUL}:10,c:10"));
        assert!(response.contains("has crashed endpoints"), "{response}");
        let sound = exchange(fixture, "aa:10,b1:10,d:10");
        assert!(sound.ends_with("\n0\n\n"), "{sound}");
    }
    cancel.cancel();
}

#[test]
fn a_request_without_a_prompt_that_crashes_endpoints_is_refused_and_others_are_served() {
    for route in ["look", "book"] {
        let endpoints: Vec<Endpoint> = (0..12)
            .map(|number| Endpoint::start_fragile_to(&format!("e{number}"), "bad"))
            .collect();
        let fixture = Fixture::new("plain", &endpoints.iter().collect::<Vec<_>>());
        for number in 0..12 {
            plain_request(fixture.address, route, "bad");
            await_crashes(&endpoints);
            thread::sleep(Duration::from_millis(100));
            let sound = plain_request(fixture.address, route, &format!("{number}"));
            assert!(sound.starts_with("HTTP/1.1 200 "), "{route}: {sound}");
        }
        let crashed = endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count();
        assert!(crashed <= MAX_CRASHES_BY_ONE, "{route}: {crashed} endpoints crashed");
        let response = plain_request(fixture.address, route, "bad");
        assert!(response.starts_with("HTTP/1.1 503 "), "{route}: {response}");
        assert!(response.contains("retry-after: "), "{route}: {response}");
    }
}

#[test]
fn sound_requests_are_refused_with_one_that_crashes_endpoints_and_shares_its_prompt() {
    // The same request comes again at any moment, between sound ones with all of its parts.
    for sound_between in [1, 2] {
        let endpoints: Vec<Endpoint> = (0..12)
            .map(|number| Endpoint::start_fragile_to(&format!("e{number}"), "bad"))
            .collect();
        let fixture = Fixture::new("model", &endpoints.iter().collect::<Vec<_>>());
        let stream = |body: &str| {
            let length = body.len();
            Client::connect(fixture.address).exchange(&format!(
                "POST /once/1 HTTP/1.1\r\n{REQUEST_HEADERS}X-Prefix-Hash: aa:10,bb:10\r\nContent-Length: {length}\r\n\r\n{body}"
            ))
        };
        for number in 0..8 {
            stream("bad");
            await_crashes(&endpoints);
            thread::sleep(Duration::from_millis(100));
            for other in 0..sound_between {
                let sound = stream(&format!("{number}-{other}"));
                assert!(sound.ends_with("\n0\n\n"), "{sound}");
            }
        }
        let crashed = endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count();
        assert!(crashed <= MAX_CRASHES_BY_ONE, "{crashed} endpoints crashed");
        let response = stream("bad");
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.contains("retry-after: "), "{response}");
    }
}

#[test]
fn a_request_without_a_prompt_is_refused_by_gateways_that_saw_too_few_crashes_each() {
    let endpoints: Vec<Endpoint> =
        (0..8).map(|number| Endpoint::start_fragile_to(&format!("e{number}"), "bad")).collect();
    let shown: Vec<&Endpoint> = endpoints.iter().collect();
    let fixtures: Vec<Fixture> = (0..4).map(|_| Fixture::new("plain", &shown)).collect();
    let cancel = connect(&fixtures);
    for fixture in fixtures.iter().take(3) {
        plain_request(fixture.address, "book", "bad");
        await_crashes(&endpoints);
        thread::sleep(Duration::from_millis(150));
    }
    thread::sleep(Duration::from_millis(1_000));
    for fixture in &fixtures {
        let response = plain_request(fixture.address, "book", "bad");
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        let sound = plain_request(fixture.address, "book", "good");
        assert!(sound.starts_with("HTTP/1.1 200 "), "{sound}");
    }
    let crashed = endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count();
    assert_eq!(crashed, 3);
    cancel.cancel();
}

/// Guards against 502 to requests that may not be repeated right after a crash: the endpoint's listener
/// still takes connections.
#[test]
fn requests_are_sent_to_an_endpoint_right_after_another_broke_off_there() {
    let listens_for = Duration::from_millis(100);
    let endpoints: Vec<Endpoint> = (0..4)
        .map(|number| Endpoint::start_slow_to_end(&format!("e{number}"), "bad", listens_for))
        .collect();
    let fixture = Fixture::new("plain", &endpoints.iter().collect::<Vec<_>>());
    let address = fixture.address;
    let mut harmful = Client::connect(address);
    harmful.send(&plain("book", "bad"));
    harmful.read_line();
    // The others have free slots for them.
    let clients = (0..12)
        .map(|number| thread::spawn(move || plain_request(address, "book", &format!("{number}"))));
    let clients: Vec<JoinHandle<String>> = clients.collect();
    for client in clients {
        let response = client.join().expect("a response");
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
    assert!(endpoints.iter().any(|endpoint| endpoint.has_crashed()));
}

#[test]
fn a_request_is_served_by_the_last_endpoint_when_all_others_have_crashed() {
    let endpoints: Vec<Endpoint> =
        (0..8).map(|number| Endpoint::start(&format!("e{number}"), vec![full()])).collect();
    let absent = |number| endpoints[0].at(&format!("a{number}"), free_address());
    for endpoint in &endpoints {
        let mut known: Vec<Endpoint> = (0..7).map(absent).collect();
        known.push(endpoint.clone());
        let fixture = Fixture::new("plain", &known.iter().collect::<Vec<_>>());
        let response = plain_request(fixture.address, "book", "good");
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
}

fn full() -> Vec<Step> {
    full_response("200 OK", "done")
}

/// Waits until each endpoint that has begun to crash is down. A request that reaches it before is
/// lost with it, whatever its parts.
fn await_crashes(endpoints: &[Endpoint]) {
    wait_until(|| endpoints.iter().all(|endpoint| !endpoint.is_crashing()));
}

/// Returns the response to a request for a stream that can't be resumed.
fn exchange(fixture: &Fixture, parts: &str) -> String {
    request(fixture, "once", parts)
}

fn request(fixture: &Fixture, route: &str, parts: &str) -> String {
    Client::connect(fixture.address).exchange(&format!(
        "POST /{route}/1 HTTP/1.1\r\n{REQUEST_HEADERS}X-Prefix-Hash: {parts}\r\nContent-Length: 2\r\n\r\nhi"
    ))
}

/// Sends a request to the plain service.
fn plain_request(gateway: SocketAddr, route: &str, body: &str) -> String {
    Client::connect(gateway).exchange(&plain(route, body))
}

/// A request for the plain service.
fn plain(route: &str, body: &str) -> String {
    let length = body.len();
    format!("POST /{route}/1 HTTP/1.1\r\n{REQUEST_HEADERS}Content-Length: {length}\r\n\r\n{body}")
}

/// Starts the exchange between gateways, until the token is cancelled.
fn connect(fixtures: &[Fixture]) -> CancellationToken {
    let members: Vec<Member> =
        (0..fixtures.len()).map(|vm| member(&format!("g{vm}"), 10)).collect();
    let cancel = CancellationToken::new();
    for (index, fixture) in fixtures.iter().enumerate() {
        let peers = peers(&fixture.routing, &members, index);
        share_loads(&peers, members[index].address, &cancel);
    }
    thread::sleep(Duration::from_millis(500));
    cancel
}
