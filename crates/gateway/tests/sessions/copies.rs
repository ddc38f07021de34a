//! Tests of shared prompt prefixes that are copied from the endpoint that has them cached.

use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::endpoint::header;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::event;
use crate::support::script::stream_end;
use crate::support::script::stream_start;

/// Names of the endpoints; there are enough that one of them may be ejected.
const NAMES: [&str; 4] = ["e1", "e2", "e3", "e4"];

/// Consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: usize = 3;

/// Returns the script of a short event stream.
fn stream() -> Vec<Step> {
    vec![stream_start(), event(1), stream_end()]
}

/// Returns a request that may run only once, with a prompt prefix long enough to be copied.
fn request(id: usize) -> String {
    let head = REQUEST_HEADERS.replace("r1", &format!("r{id}"));
    format!(
        "POST /once/1 HTTP/1.1\r\n{head}X-Prefix-Hash: 7:600,8:10\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// Sends the request over a new connection.
fn send(fixture: &Fixture, id: usize) {
    Client::connect(fixture.address).exchange(&request(id));
}

/// Returns the index of the endpoint that is preferred for the prompt prefix if all endpoints
/// have the same load.
fn preferred() -> usize {
    let endpoints: Vec<Endpoint> =
        NAMES.iter().map(|name| Endpoint::start(name, vec![stream()])).collect();
    let fixture = Fixture::new("model", &endpoints.iter().collect::<Vec<_>>());
    send(&fixture, 0);
    endpoints
        .iter()
        .position(|endpoint| !endpoint.seen().is_empty())
        .expect("an endpoint received the request")
}

#[test]
fn a_prompt_prefix_is_not_copied_from_a_failing_endpoint() {
    let preferred = preferred();
    let script = |index| match index == preferred {
        true => vec![vec![Step::Close]],
        false => vec![stream()],
    };
    let endpoints: Vec<Endpoint> =
        (0..NAMES.len()).map(|index| Endpoint::start(NAMES[index], script(index))).collect();
    let fixture = Fixture::new("model", &endpoints.iter().collect::<Vec<_>>());
    (0..FAILURES_TO_EJECT).for_each(|id| send(&fixture, id));
    assert_eq!(
        endpoints[preferred].seen().len(),
        FAILURES_TO_EJECT,
        "requests are sent to it until it is ejected"
    );
    send(&fixture, FAILURES_TO_EJECT);
    let mut others = endpoints.iter().enumerate().filter(|(index, _)| *index != preferred);
    let (_, other) = others
        .find(|(_, endpoint)| !endpoint.seen().is_empty())
        .expect("another endpoint received the request");
    let source = header(&other.seen()[0], "kv-fetch").expect("a source of the prefix");
    let healthy = endpoints
        .iter()
        .enumerate()
        .filter(|(index, endpoint)| *index != preferred && endpoint.address != other.address);
    let mut healthy = healthy.map(|(_, endpoint)| endpoint.address.to_string());
    assert!(healthy.any(|address| address == source), "{source}: {:?}", other.seen());
}

#[test]
fn a_prompt_prefix_is_copied_from_a_leaving_endpoint() {
    let preferred = preferred();
    let endpoints: Vec<Endpoint> =
        NAMES.iter().map(|name| Endpoint::start(name, vec![stream()])).collect();
    let fixture = Fixture::new("model", &endpoints.iter().collect::<Vec<_>>());
    send(&fixture, 0);
    fixture.set_draining("model", &endpoints[preferred]);
    send(&fixture, 1);
    let mut others = endpoints.iter().enumerate().filter(|(index, _)| *index != preferred);
    let (_, other) = others
        .find(|(_, endpoint)| !endpoint.seen().is_empty())
        .expect("another endpoint received the request");
    let source = header(&other.seen()[0], "kv-fetch");
    assert_eq!(source, Some(endpoints[preferred].address.to_string()));
}
