//! Tests of endpoints that end and start again at their addresses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use parking_lot::Mutex;

use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::event;
use crate::support::script::stream_end;
use crate::support::script::stream_start;
use crate::support::script::wait_until;

/// Streams that begin after the endpoint is back: it would get one of them at least.
const STREAMS: u32 = 24;

/// Guards against a stream that goes on in one response at another version (review/6): it began at a
/// start of a new version that no announcement had told of yet.
#[test]
fn a_stream_begins_at_a_start_of_an_endpoint_that_is_not_announced() {
    let case = Case::new();
    case.crash();
    let again = case.restart();
    for response in case.streams(0) {
        assert!(response.ends_with("\n0\n\n"), "{response}");
        assert!(!response.contains("data: e1"), "{response}");
    }
    assert_eq!(again.seen(), Vec::<String>::new());

    case.fixture.announce_restart("model", &again, "v2", 6);
    let begun = case.streams(STREAMS).into_iter();
    let at_new: Vec<String> = begun.filter(|response| response.contains("data: e1")).collect();
    assert!(!at_new.is_empty());
    // The new start breaks streams off, and no other endpoint has its version.
    assert!(at_new.iter().all(|it| it.ends_with("data: e1\n\n\n(closed)\n")), "{at_new:?}");
}

/// Guards against an endpoint that gets no more requests after its address was out of reach.
#[test]
fn an_endpoint_gets_no_requests_once_its_address_has_been_out_of_reach() {
    let case = Case::new();
    case.crash();
    let again = case.restart();
    wait_until(|| {
        case.streams(0);
        !again.seen().is_empty()
    });
}

/// Guards against the same at a gateway that could not notice the end of the start before, and against
/// a client that takes the stream up at the version before.
#[test]
fn a_stream_whose_start_is_announced_later_goes_on_at_the_version_before() {
    let events = (1..=4).flat_map(|number| [event(number), Step::Pause(200)]);
    let broken = [stream_start()].into_iter().chain(events).chain([Step::Close]).collect();
    let rest = vec![stream_start(), event(5), stream_end()];
    let again = Endpoint::start("e1", vec![broken, rest.clone()]);
    let sound = Endpoint::start("e2", vec![rest]);
    let fixture = Fixture::new("model", &[&again, &sound]);
    for number in 0..STREAMS {
        let address = fixture.address;
        let client = thread::spawn(move || stream(address, number, "hi"));
        wait_until(|| !again.seen().is_empty() || client.is_finished());
        if again.seen().is_empty() {
            client.join().expect("a response");
            continue;
        }
        fixture.announce_restart("model", &again, "v2", 6);
        let response = client.join().expect("a response");
        assert!(response.ends_with("data: e4\n\n\n(closed)\n"), "{response}");

        let seen = sound.seen().len();
        let headers = REQUEST_HEADERS.replace("r1", "s1");
        let response = Client::connect(address).exchange(&format!(
            "POST /tell/1 HTTP/1.1\r\n{headers}Last-Event-Id: 4\r\nResumes: r{number}\r\nContent-Length: 2\r\n\r\nhi"
        ));
        assert!(response.ends_with("\n0\n\n"), "{response}");
        assert_eq!((again.seen().len(), sound.seen().len()), (2, seen));
        return;
    }
    panic!("no stream began at the endpoint that started again");
}

/// An endpoint that can crash beside one that doesn't, before a gateway.
struct Case {
    fragile: Endpoint,
    fixture: Fixture,
}

impl Case {
    fn new() -> Case {
        let fragile = Endpoint::start_fragile_to("e1", "bad");
        let sound = Endpoint::start("e2", vec![vec![stream_start(), event(2), stream_end()]]);
        let fixture = Fixture::new("model", &[&fragile, &sound]);
        Case { fragile, fixture }
    }

    /// Lets the endpoint crash, and waits until nothing listens at its address and the gateway has
    /// noticed that.
    fn crash(&self) {
        for number in 0..STREAMS {
            if self.fragile.has_crashed() {
                break;
            }
            stream(self.fixture.address, number, "bad");
        }
        assert!(self.fragile.has_crashed());
        wait_until(|| !self.fragile.is_crashing());
        thread::sleep(Duration::from_millis(500));
    }

    /// Starts the endpoint again, which now breaks off each stream after its first event.
    fn restart(&self) -> Endpoint {
        let broken = vec![stream_start(), event(1), Step::Pause(30), Step::Close];
        Endpoint::start_at("e1", self.fragile.address, &Arc::new(Mutex::new(vec![broken])))
    }

    /// Returns the responses to requests that are sent at the same time.
    fn streams(&self, first: u32) -> Vec<String> {
        let address = self.fixture.address;
        let clients = (first..first + STREAMS)
            .map(|number| thread::spawn(move || stream(address, number, "hi")));
        let clients: Vec<JoinHandle<String>> = clients.collect();
        clients.into_iter().map(|client| client.join().expect("a response")).collect()
    }
}

/// Sends a request for a stream that may be resumed, and returns the response.
fn stream(gateway: SocketAddr, number: u32, body: &str) -> String {
    let headers = REQUEST_HEADERS.replace("r1", &format!("r{number}"));
    let length = body.len();
    Client::connect(gateway).exchange(&format!(
        "POST /tell/{number} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    ))
}
