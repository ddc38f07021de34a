//! Tests of streams before endpoints of several software versions.

use std::thread;
use std::time::Duration;

use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::event;
use crate::support::script::stream_end;
use crate::support::script::stream_start;

#[test]
fn a_broken_stream_is_not_resumed_at_an_endpoint_of_another_version() {
    for _ in 0..8 {
        let broken = vec![stream_start(), event(1), Step::Pause(30), Step::Close];
        let old = Endpoint::start("e1", vec![broken]);
        let new = Endpoint::start("e2", vec![rest()]);
        let fixture = Fixture::new("model", &[&old]);
        fixture.announce("model", &new, "v2");
        let response = Client::connect(fixture.address).exchange(&fresh("r1"));
        if !old.seen().is_empty() {
            assert!(response.ends_with("data: e1\n\n\n(closed)\n"), "{response}");
            assert_eq!(new.seen(), Vec::<String>::new());
            return;
        }
    }
    panic!("no stream began at the old version");
}

#[test]
fn a_stream_that_no_version_is_known_of_is_not_taken_up() {
    let old = Endpoint::start("e1", vec![rest()]);
    let new = Endpoint::start("e2", vec![rest()]);
    let fixture = Fixture::new("model", &[&old]);
    fixture.announce("model", &new, "v2");
    let response = Client::connect(fixture.address).exchange(&take_up("r9", "r8"));
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert_eq!((old.seen().len(), new.seen().len()), (0, 0));
}

#[test]
fn a_stream_is_taken_up_at_the_version_that_began_it() {
    let broken = vec![stream_start(), event(1), Step::Pause(30), Step::Close];
    let old: Vec<Endpoint> = (0..2)
        .map(|number| Endpoint::start(&format!("e{number}"), vec![broken.clone(), rest()]))
        .collect();
    let fixture = Fixture::new("model", &old.iter().collect::<Vec<_>>());
    // One attempt only, so the stream is not resumed within the response.
    let begun = Client::connect(fixture.address).exchange(&once("r1"));
    assert!(begun.ends_with("data: e1\n\n\n(closed)\n"), "{begun}");
    let new: Vec<Endpoint> =
        (5..9).map(|number| Endpoint::start(&format!("e{number}"), vec![rest()])).collect();
    for endpoint in &new {
        fixture.announce("model", endpoint, "v2");
    }
    thread::sleep(Duration::from_millis(100));
    for number in 2..8 {
        let response =
            Client::connect(fixture.address).exchange(&take_up(&format!("r{number}"), "r1"));
        assert!(response.ends_with("\n0\n\n"), "{response}");
    }
    assert!(new.iter().all(|endpoint| endpoint.seen().is_empty()));
}

/// A stream that goes on after the first event.
fn rest() -> Vec<Step> {
    vec![stream_start(), event(2), stream_end()]
}

/// A request for a stream that may be resumed.
fn fresh(id: &str) -> String {
    request("tell", id, "")
}

/// A request for the same stream, from a route that allows one attempt.
fn once(id: &str) -> String {
    request("single", id, "")
}

/// A request of a client that takes up the stream of another request after its first event.
fn take_up(id: &str, begun: &str) -> String {
    request("tell", id, &format!("Last-Event-Id: 1\r\nResumes: {begun}\r\n"))
}

fn request(route: &str, id: &str, headers: &str) -> String {
    let common = REQUEST_HEADERS.replace("r1", id);
    format!("POST /{route}/1 HTTP/1.1\r\n{common}{headers}Content-Length: 2\r\n\r\nhi")
}
