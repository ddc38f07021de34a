//! Tests of endpoints that work faster or slower than the others of their service.

use std::net::SocketAddr;
use std::sync::Arc;

use gateway::Options;
use gateway::Routing;
use parking_lot::Mutex;
use policy::observation::Report;
use rpc::view::Source;

use crate::loads::member;
use crate::loads::peers;
use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::full_response;

/// Time of an endpoint for a request, which the noise of a busy machine changes by a fraction only.
const USUAL_MILLIS: u64 = 25;

/// Time of a slow endpoint. From 5 times the median on it would be ejected.
const SLOW_MILLIS: u64 = 90;

/// Requests by which a change of speed has to be noticed, some ten seconds.
const MAX_REQUESTS: usize = 400;

fn responses(millis: u64) -> Vec<Vec<Step>> {
    let mut steps = vec![Step::Pause(millis)];
    steps.extend(full_response("200 OK", "found"));
    vec![steps]
}

/// Sends requests one after the other.
fn send(address: SocketAddr, count: usize) {
    for _ in 0..count {
        let mut client = Client::connect(address);
        client.send(&format!("GET /look/1 HTTP/1.1\r\n{REQUEST_HEADERS}\r\n"));
        assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
    }
}

/// Sends requests until the gateway tells others of this many endpoints.
fn send_until_told(fixture: &Fixture, endpoints: usize) {
    let told = peers(&fixture.routing, &[member("g1", 10)], 0);
    let count = || told.report_observations("g2", Report::default()).own.speed.len();
    for _ in 0..MAX_REQUESTS {
        if count() == endpoints {
            return;
        }
        send(fixture.address, 1);
    }
    panic!("the gateway tells of {} endpoints, not of {endpoints}", count());
}

#[test]
fn an_endpoint_that_turns_slow_gets_fewer_requests_until_it_is_back() {
    let scripted = Arc::new(Mutex::new(responses(USUAL_MILLIS)));
    let changing = Endpoint::start_with("e1", &scripted);
    let steady = ["e2", "e3"].map(|id| Endpoint::start(id, responses(USUAL_MILLIS)));
    let routing = Routing::new(Options { learns_speed: true, ..Options::default() });
    let fixture = Fixture::unconfigured_with(routing);
    fixture.configure("plain", &[&changing, &steady[0], &steady[1]]);
    let got = |requests| {
        let before = changing.seen().len();
        send(fixture.address, requests);
        changing.seen().len() - before
    };
    got(100);
    *scripted.lock() = responses(SLOW_MILLIS);
    send_until_told(&fixture, 1);
    // Idle endpoints are drawn by their speeds: 15 of 120 are expected, and 40 at equal speeds.
    let slow = got(120);
    assert!((1..=27).contains(&slow), "{slow} of 120 requests");
    *scripted.lock() = responses(USUAL_MILLIS);
    send_until_told(&fixture, 0);
    let recovered = got(120);
    assert!((20..=60).contains(&recovered), "{recovered} of 120 requests");
}
