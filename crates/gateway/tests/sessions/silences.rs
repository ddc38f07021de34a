//! Tests of endpoints that accept requests and send nothing, or no further event.

use gateway::Options;
use gateway::Routing;

use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::event;
use crate::support::script::full_response;
use crate::support::script::stream_end;
use crate::support::script::stream_start;
use crate::support::script::wait_until;

/// Requests after which the usual time of a service is known.
const KNOWN: usize = 24;

/// Starts two endpoints that answer some requests well, then one with `odd`, and all further ones
/// with `last`.
fn endpoints(well: &[Step], odd: &[Step], last: &[Step]) -> [Endpoint; 2] {
    let mut responses = vec![well.to_vec(); KNOWN];
    responses.extend([odd.to_vec(), last.to_vec()]);
    Endpoint::start_pair(["e1", "e2"], responses)
}

fn routing() -> Routing {
    Routing::new(Options { abandons_silent: true, ..Options::default() })
}

/// Sends a request on a connection of its own, and returns the response.
fn exchange(fixture: &Fixture, head: &str) -> String {
    let mut client = Client::connect(fixture.address);
    let mut response = client.exchange(&format!(
        "{head} HTTP/1.1\r\n{REQUEST_HEADERS}Connection: close\r\nContent-Length: 2\r\n\r\nhi"
    ));
    // The client stops to read while an endpoint is silent.
    for _ in 0..3 {
        if !response.ends_with("(closed)\n") {
            response.push_str(&client.read());
        }
    }
    response
}

/// Sends the requests that are answered well.
fn learn(fixture: &Fixture, head: &str) {
    for _ in 0..KNOWN {
        let response = exchange(fixture, head);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Returns the records of both endpoints: requests, and closed connections.
fn seen(endpoints: &[Endpoint; 2]) -> Vec<String> {
    endpoints.iter().flat_map(Endpoint::seen).collect()
}

fn is_closed_soon(endpoints: &[Endpoint; 2]) -> bool {
    seen(endpoints).iter().any(|record| record == "closed soon")
}

/// Guards against a request that waits for its deadline at an endpoint that never answers, while
/// another one would.
#[test]
fn a_request_that_may_run_twice_is_sent_elsewhere_if_the_endpoint_is_silent() {
    let ok = full_response("200 OK", "found");
    let endpoints = endpoints(&ok, &[Step::AwaitClose], &ok);
    let fixture = Fixture::with_routing(routing(), "plain", &[&endpoints[0], &endpoints[1]]);
    learn(&fixture, "POST /look/1");
    let response = exchange(&fixture, "POST /look/1");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    wait_until(|| is_closed_soon(&endpoints));
    assert_eq!(seen(&endpoints).len(), KNOWN + 3);
}

/// Guards against a request that runs twice though it may not.
#[test]
fn a_mutating_request_stays_at_a_silent_endpoint() {
    let ok = full_response("200 OK", "done");
    let endpoints = endpoints(&ok, &[Step::AwaitClose], &ok);
    let fixture = Fixture::with_routing(routing(), "plain", &[&endpoints[0], &endpoints[1]]);
    learn(&fixture, "POST /twice/1");
    let response = exchange(&fixture, "POST /twice/1");
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    wait_until(|| seen(&endpoints).len() == KNOWN + 2);
}

#[test]
fn without_the_setting_a_request_stays_at_a_silent_endpoint() {
    let ok = full_response("200 OK", "found");
    let endpoints = endpoints(&ok, &[Step::AwaitClose], &ok);
    let fixture = Fixture::new("plain", &[&endpoints[0], &endpoints[1]]);
    learn(&fixture, "POST /look/1");
    let response = exchange(&fixture, "POST /look/1");
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
}

/// Guards against a stream that stops between two events and waits for its deadline.
#[test]
fn a_stream_whose_next_event_does_not_come_goes_on_elsewhere() {
    let pause = Step::Pause(10);
    let well = [stream_start(), pause.clone(), event(1), pause.clone(), event(2), stream_end()];
    let stops = [stream_start(), pause.clone(), event(1), Step::AwaitClose];
    let rest = [stream_start(), pause, event(2), stream_end()];
    let endpoints = endpoints(&well, &stops, &rest);
    let fixture = Fixture::with_routing(routing(), "model", &[&endpoints[0], &endpoints[1]]);
    learn(&fixture, "POST /tell/1");
    let response = exchange(&fixture, "POST /tell/1");
    let places = ["data: e1", "data: e2", "\n0\n", "(closed)"].map(|text| response.find(text));
    assert!(places.iter().all(Option::is_some) && places.is_sorted(), "{response}");
    wait_until(|| is_closed_soon(&endpoints));
    let resumed = seen(&endpoints).iter().filter(|it| it.contains("last-event-id: 1")).count();
    assert_eq!(resumed, 1);
}
