//! Tests of endpoints that fail a share of their requests.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use gateway::Options;
use gateway::Peers;
use gateway::Routing;
use policy::exchange::Report;
use policy::failure_rate::Row;
use policy::failure_rate::Sheet;
use policy::observation;
use policy::observation::Observations;
use policy::quarantine;
use policy::rate_limit;
use rpc::view::Source;
use tokio_util::sync::CancellationToken;

use crate::loads::member;
use crate::loads::peers;
use crate::loads::share_loads;
use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::full_response;

/// Time in which a report reaches another gateway, several times over.
const REPORTED: Duration = Duration::from_millis(1_500);

/// Time after which failures are forgotten, with some margin.
const FORGOTTEN: Duration = Duration::from_millis(3_500);

/// Returns responses of which every second one is a failure, so that the endpoint is not ejected.
fn unreliable() -> Vec<Vec<Step>> {
    let statuses = ["500 Internal Server Error", "200 OK"];
    (0..200).map(|index| full_response(statuses[index % 2], "ok")).collect()
}

fn reliable() -> Vec<Vec<Step>> {
    vec![full_response("200 OK", "ok")]
}

/// Sends requests that run once at most; returns how many failed.
fn book(fixture: &Fixture, requests: usize) -> usize {
    let mut failed = 0;
    for _ in 0..requests {
        let mut client = Client::connect(fixture.address);
        client.send(&format!(
            "POST /book/1 HTTP/1.1\r\n{REQUEST_HEADERS}Content-Length: 2\r\n\r\nhi"
        ));
        failed += usize::from(client.read_line() != "HTTP/1.1 200 OK");
        thread::sleep(Duration::from_millis(5));
    }
    failed
}

/// Guards against requests that can't be repeated being sent to an endpoint that fails half of them
/// while another one is sound.
#[test]
fn an_endpoint_that_fails_half_of_the_requests_is_avoided_until_that_is_forgotten() {
    let (one, two) = (Endpoint::start("e1", unreliable()), Endpoint::start("e2", reliable()));
    let routing = Routing::new(Options { shares_failures: true, ..Options::default() });
    let fixture = Fixture::with_routing(routing, "plain", &[&one, &two]);
    book(&fixture, 80);
    assert_eq!(book(&fixture, 40), 0);
    let before = one.seen().len();
    thread::sleep(FORGOTTEN);
    book(&fixture, 20);
    assert!(one.seen().len() > before);
}

#[test]
fn without_the_setting_an_unreliable_endpoint_is_used_like_the_other() {
    let (one, two) = (Endpoint::start("e1", unreliable()), Endpoint::start("e2", reliable()));
    let fixture = Fixture::new("plain", &[&one, &two]);
    book(&fixture, 80);
    assert!(book(&fixture, 40) > 2);
}

/// Guards against an endpoint that is no longer sent anything, so that its recovery goes unnoticed.
#[test]
fn requests_that_may_be_repeated_try_an_endpoint_that_is_avoided() {
    let (one, two) = (Endpoint::start("e1", unreliable()), Endpoint::start("e2", reliable()));
    let routing = Routing::new(Options { shares_failures: true, ..Options::default() });
    let fixture = Fixture::with_routing(routing, "plain", &[&one, &two]);
    book(&fixture, 80);
    let before = one.seen().len();
    for _ in 0..60 {
        let mut client = Client::connect(fixture.address);
        client.send(&format!("GET /look/1 HTTP/1.1\r\n{REQUEST_HEADERS}\r\n"));
        assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
        thread::sleep(Duration::from_millis(25));
    }
    let tried = one.seen().len() - before;
    assert!((1..=8).contains(&tried), "{tried}");
}

/// Lets a gateway that isn't there report failures at `e1` until cancelled.
fn report(to: &Arc<Peers>, cancel: &CancellationToken) {
    let (to, cancel) = (Arc::clone(to), cancel.clone());
    let endpoint = quarantine::start_id("e1", Some(5));
    let failures = Sheet::new(vec![Row { endpoint, requests: 30, failures: 14 }]);
    let own = Observations { failures, ..Observations::default() };
    thread::spawn(move || {
        for sequence in 1.. {
            if cancel.is_cancelled() {
                return;
            }
            let vm = "another".to_owned();
            let report = Report { vm, incarnation: 1, sequence, gateways: 1, ..Report::default() };
            to.report(report, rate_limit::Report::default()).expect("a report that is in order");
            let members = Observations::default();
            to.report_observations("another", observation::Report { own: own.clone(), members });
            thread::sleep(Duration::from_millis(100));
        }
    });
}

/// Guards against counts that are lost between a gateway, its hub and another gateway.
#[test]
fn an_endpoint_that_failed_requests_of_another_gateway_is_avoided() {
    let (one, two) = (Endpoint::start("e1", reliable()), Endpoint::start("e2", reliable()));
    let routing = Routing::new(Options { shares_failures: true, ..Options::default() });
    let fixture = Fixture::with_routing(routing, "plain", &[&one, &two]);
    let members = [member("g1", 500), member("g2", 90), member("g3", 90)];
    let cancel = CancellationToken::new();
    let _cancel_on_drop = cancel.clone().drop_guard();
    let at_hub = peers(&Arc::default(), &members, 0);
    let at_own = peers(&fixture.routing, &members, 1);
    share_loads(&at_hub, members[0].address, &cancel);
    share_loads(&at_own, members[1].address, &cancel);
    report(&at_hub, &cancel);
    thread::sleep(REPORTED);
    book(&fixture, 10);
    assert_eq!([one.seen().len(), two.seen().len()], [0, 10]);
}
