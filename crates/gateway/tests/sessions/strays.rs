//! Tests of responses of faulty endpoints that belong to an earlier request, or to no stream.

use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::event;
use crate::support::script::full_response;
use crate::support::script::send;
use crate::support::script::stream_end;
use crate::support::script::stream_start;

#[test]
fn an_earlier_refusal_that_comes_once_more_is_no_refusal_of_the_next_request() {
    // With the id of the earlier request, and without an id.
    for id in ["X-Request-Id: r1\r\n", ""] {
        let refusal = send(&format!(
            "HTTP/1.1 503 Service Unavailable\r\n{id}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        ));
        let again = [vec![refusal.clone()], full_response("200 OK", "done")].concat();
        let endpoint = Endpoint::start("e1", vec![vec![refusal], again]);
        let fixture = Fixture::new("plain", &[&endpoint]);
        let first = Client::connect(fixture.address).exchange(&book("r1"));
        assert!(first.starts_with("HTTP/1.1 503 "), "{id}: {first}");
        let second = Client::connect(fixture.address).exchange(&book("r2"));
        assert!(second.starts_with("HTTP/1.1 502 "), "{id}: {second}");
        assert_eq!(endpoint.seen().len(), 2);
    }
}

#[test]
fn a_request_that_an_earlier_refusal_seems_to_refuse_does_not_run_twice() {
    let refusal =
        send("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    let done = full_response("200 OK", "done");
    let again = [vec![refusal.clone()], done.clone()].concat();
    let endpoint = Endpoint::start("e1", vec![vec![refusal], again, done]);
    let fixture = Fixture::new("plain", &[&endpoint]);
    Client::connect(fixture.address).exchange(&book("r1"));
    let other = Endpoint::start("e2", vec![full_response("200 OK", "done")]);
    fixture.announce("plain", &other, "v1");
    for number in 2..8 {
        let request = request("twice", &format!("r{number}"));
        Client::connect(fixture.address).exchange(&request);
    }
    let runs = |id: &str| {
        let seen = [&endpoint, &other].map(Endpoint::seen).concat();
        seen.iter().filter(|request| request.contains(&format!("x-request-id: {id}\r"))).count()
    };
    for number in 2..8 {
        assert!(runs(&format!("r{number}")) <= 1, "r{number} ran twice");
    }
}

#[test]
fn a_refusal_without_an_id_on_a_new_connection_is_believed() {
    let refusal =
        send("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    let endpoint = Endpoint::start("e1", vec![vec![refusal]]);
    let fixture = Fixture::new("plain", &[&endpoint]);
    let response = Client::connect(fixture.address).exchange(&book("r1"));
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
}

#[test]
fn an_error_of_the_next_endpoint_does_not_reach_the_middle_of_a_stream() {
    let error = |head: &str, body: &str| {
        let length = body.len();
        let head = head.replace("BODY", &format!("Content-Length: {length}\r\n\r\n{body}"));
        vec![send(&head)]
    };
    let id = "X-Request-Id: {id}\r\n";
    let nexts = [
        full_response("500 Internal Server Error", "id: 2\ndata: broken\n\n"),
        full_response("404 Not Found", "broken\n\n"),
        error(&format!("HTTP/1.1 503 Full\r\n{id}X-Not-Run: 1\r\nBODY"), "broken\n\n"),
        error(&format!("HTTP/1.1 200 OK\r\n{id}Content-Type: application/json\r\nBODY"), "{}\n\n"),
        full_response("200 OK", "broken\n\n"),
        vec![send("broken\r\n\r\n"), Step::Close],
    ];
    for next in nexts {
        let begin = vec![stream_start(), event(1), Step::Pause(30), Step::Close];
        let shown = format!("{next:?}");
        let [one, other] = Endpoint::start_pair(["e1", "e2"], vec![begin, next]);
        let fixture = Fixture::new("model", &[&one, &other]);
        let response = Client::connect(fixture.address).exchange(&request("tell", "r1"));
        assert!(response.ends_with("data: e1\n\n\n(closed)\n"), "{shown}: {response}");
        assert_eq!((one.seen().len(), other.seen().len()), (1, 1), "{shown}");
    }
}

#[test]
fn a_stream_whose_events_have_no_ids_is_not_begun_anew_within_its_response() {
    let text = "data: e1\n\n";
    let nameless = send(&format!("{:x}\r\n{text}\r\n", text.len()));
    let begin = vec![stream_start(), nameless.clone(), Step::Pause(30), Step::Close];
    let whole = vec![stream_start(), nameless, stream_end()];
    let [one, other] = Endpoint::start_pair(["e1", "e2"], vec![begin, whole]);
    let fixture = Fixture::new("model", &[&one, &other]);
    let response = Client::connect(fixture.address).exchange(&request("tell", "r1"));
    assert!(response.ends_with("data: e1\n\n\n(closed)\n"), "{response}");
    assert_eq!(one.seen().len() + other.seen().len(), 1);
}

/// A request that may run once at most.
fn book(id: &str) -> String {
    request("book", id)
}

fn request(route: &str, id: &str) -> String {
    let common = REQUEST_HEADERS.replace("r1", id);
    format!("POST /{route}/1 HTTP/1.1\r\n{common}Content-Length: 2\r\n\r\nhi")
}
