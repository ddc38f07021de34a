//! Tests of responses of faulty endpoints that belong to an earlier request.

use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::full_response;
use crate::support::script::send;

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
    let again = [vec![refusal.clone()], full_response("200 OK", "done")].concat();
    let endpoint = Endpoint::start("e1", vec![vec![refusal], again]);
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

/// A request that may run once at most.
fn book(id: &str) -> String {
    request("book", id)
}

fn request(route: &str, id: &str) -> String {
    let common = REQUEST_HEADERS.replace("r1", id);
    format!("POST /{route}/1 HTTP/1.1\r\n{common}Content-Length: 2\r\n\r\nhi")
}
