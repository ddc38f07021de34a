//! Tests of requests and streams while a data centre is evacuated. The gateway is in `a`.

use std::thread;
use std::time::Duration;

use telemetry::metrics::Recorder;

use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::endpoint::header;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::event;
use crate::support::script::full_response;
use crate::support::script::send;
use crate::support::script::slow_stream;
use crate::support::script::stream_end;
use crate::support::script::stream_start;
use crate::support::script::wait_until;

/// Longer than an endpoint is ejected for the first time, after which it is due for a probe.
const PROBE_DUE: Duration = Duration::from_millis(1_100);

fn request(path: &str) -> String {
    format!("POST /{path}/1 HTTP/1.1\r\n{REQUEST_HEADERS}Content-Length: 2\r\n\r\nhi")
}

fn exchange(fixture: &Fixture, path: &str) -> String {
    Client::connect(fixture.address).exchange(&request(path))
}

fn sound(id: &str) -> Endpoint {
    Endpoint::start(id, vec![full_response("200 OK", "done")])
}

#[test]
fn a_request_is_sent_to_an_evacuated_data_centre() {
    let (near, far) = (sound("e1"), sound("e2"));
    let fixture = Fixture::new("plain", &[&near]);
    fixture.announce_in("plain", &far, "b");
    fixture.evacuate("b");
    for _ in 0..8 {
        assert!(exchange(&fixture, "look").starts_with("HTTP/1.1 200 "));
    }
    assert_eq!((near.seen().len(), far.seen().len()), (8, 0));
    // An endpoint that announces itself there during the evacuation.
    let new = sound("e3");
    fixture.announce_in("plain", &new, "b");
    fixture.evacuate("a");
    fixture.end_evacuation("b");
    for _ in 0..8 {
        assert!(exchange(&fixture, "look").starts_with("HTTP/1.1 200 "));
    }
    assert_eq!(near.seen().len(), 8, "the other data centre is evacuated now");
    assert_eq!(far.seen().len() + new.seen().len(), 8);
}

#[test]
fn an_endpoint_that_is_announced_during_an_evacuation_gets_requests() {
    let (near, far) = (sound("e1"), sound("e2"));
    let fixture = Fixture::new("plain", &[&near]);
    fixture.evacuate("b");
    fixture.announce_in("plain", &far, "b");
    fixture.set_draining("plain", &near);
    let response = exchange(&fixture, "look");
    assert!(response.contains("evacuated"), "{response}");
    // The same start moves to the evacuated data centre.
    fixture.announce_in("plain", &near, "b");
    let response = exchange(&fixture, "look");
    assert!(response.contains("evacuated"), "{response}");
    assert_eq!((near.seen().len(), far.seen().len()), (0, 0));
}

#[test]
fn a_request_whose_endpoints_are_all_evacuated_waits_or_is_refused_without_a_time() {
    let (first, second) = (sound("e1"), sound("e2"));
    let fixture = Fixture::new("plain", &[]);
    fixture.announce_in("plain", &first, "b");
    fixture.announce_in("plain", &second, "c");
    fixture.evacuate("b");
    fixture.evacuate("c");
    for path in ["look", "book", "twice"] {
        let response = exchange(&fixture, path);
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.contains("\nretry-after: 1.0\n"), "{response}");
        let text = "all endpoints are in data centres that are evacuated; it did not run";
        assert!(response.contains(text), "{response}");
    }
    assert_eq!((first.seen().len(), second.seen().len()), (0, 0));
    fixture.end_evacuation("b");
    assert!(exchange(&fixture, "book").starts_with("HTTP/1.1 200 "));
}

#[test]
fn a_retry_is_sent_to_an_evacuated_data_centre() {
    let (near, far) = (Endpoint::start("e1", vec![full_response("500 Error", "no")]), sound("e2"));
    let fixture = Fixture::new("plain", &[&near]);
    fixture.announce_in("plain", &far, "b");
    fixture.evacuate("b");
    assert!(exchange(&fixture, "look").starts_with("HTTP/1.1 500 "));
    assert_eq!((near.seen().len(), far.seen().len()), (1, 0));
}

#[test]
fn a_refusal_blames_an_evacuation_though_an_endpoint_elsewhere_has_refused() {
    let full =
        "HTTP/1.1 503 Full\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let (near, far) = (Endpoint::start("e1", vec![vec![send(full)]]), sound("e2"));
    let fixture = Fixture::new("plain", &[&near]);
    fixture.announce_in("plain", &far, "b");
    fixture.evacuate("b");
    let response = exchange(&fixture, "look");
    assert!(response.contains("no endpoint takes work now"), "{response}");
    assert_eq!((near.seen().len(), far.seen().len()), (1, 0));
}

#[test]
fn a_probe_is_sent_to_an_ejected_endpoint_that_is_evacuated() {
    let failing = || Endpoint::start("e1", vec![full_response("500 Error", "no")]);
    for is_evacuated in [true, false] {
        let far = failing();
        let others = ["e2", "e3", "e4"].map(sound);
        let fixture = Fixture::new("plain", &[]);
        fixture.announce_in("plain", &far, "b");
        // It fails until it is ejected.
        for _ in 0..3 {
            exchange(&fixture, "look");
        }
        assert_eq!(far.seen().len(), 3);
        others.iter().for_each(|other| fixture.announce("plain", other, "v1"));
        if is_evacuated {
            fixture.evacuate("b");
        }
        thread::sleep(PROBE_DUE);
        for _ in 0..8 {
            exchange(&fixture, "look");
        }
        let probes = far.seen().len() - 3;
        assert_eq!(probes == 0, is_evacuated, "{probes} probes, evacuated: {is_evacuated}");
    }
}

#[test]
fn a_stream_that_runs_in_an_evacuated_data_centre_is_cut() {
    let (near, far) = (sound("e1"), Endpoint::start("e2", vec![slow_stream(6)]));
    let fixture = Fixture::new("model", &[]);
    fixture.announce_in("model", &far, "b");
    let mut client = Client::connect(fixture.address);
    client.send(&request("tell"));
    wait_until(|| !far.seen().is_empty());
    fixture.announce("model", &near, "v1");
    fixture.evacuate("b");
    let response = client.read();
    assert!(response.contains("data: e6\n") && response.ends_with("\n0\n\n"), "{response}");
    assert_eq!((near.seen().len(), far.seen().len()), (0, 1));
}

#[test]
fn a_stream_that_breaks_off_in_an_evacuated_data_centre_is_resumed_there() {
    let broken = vec![stream_start(), event(1), Step::Pause(300), Step::Close];
    // Endpoints of the gateway's own data centre are preferred unless it is evacuated.
    let first = Endpoint::start("e1", vec![broken]);
    let other = Endpoint::start("e2", vec![slow_stream(2)]);
    let rest = vec![stream_start(), event(2), stream_end()];
    let far = Endpoint::start("e3", vec![rest]);
    let fixture = Fixture::new("model", &[&first]);
    let mut client = Client::connect(fixture.address);
    client.send(&request("tell"));
    wait_until(|| !first.seen().is_empty());
    fixture.announce("model", &other, "v1");
    fixture.announce_in("model", &far, "b");
    fixture.evacuate("a");
    let response = client.read();
    assert!(response.contains("data: e2\n") && response.ends_with("\n0\n\n"), "{response}");
    assert_eq!((far.seen().len(), other.seen().len()), (1, 0));
    assert_eq!(header(&far.seen()[0], "last-event-id").as_deref(), Some("1"));
}

#[test]
fn a_prompt_prefix_is_computed_anew_though_an_evacuated_endpoint_has_it() {
    let script = || vec![vec![stream_start(), event(1), stream_end()]];
    let endpoints = ["e1", "e2"].map(|id| Endpoint::start(id, script()));
    let fixture = Fixture::new("model", &[&endpoints[0], &endpoints[1]]);
    let prompt = request("once").replace("Content-", "X-Prefix-Hash: 7:600,8:10\r\nContent-");
    Client::connect(fixture.address).exchange(&prompt);
    let has_it = usize::from(endpoints[0].seen().is_empty());
    fixture.announce_in("model", &endpoints[has_it], "b");
    fixture.evacuate("b");
    Client::connect(fixture.address).exchange(&prompt);
    let seen = endpoints[1 - has_it].seen();
    let source = Some(endpoints[has_it].address.to_string());
    assert_eq!(header(&seen[0], "kv-fetch"), source);
}

#[test]
fn the_progress_of_an_evacuation_is_not_shown() {
    let far = Endpoint::start("e1", vec![slow_stream(4)]);
    let fixture = Fixture::new("model", &[]);
    fixture.announce_in("model", &far, "b");
    let mut client = Client::connect(fixture.address);
    client.send(&request("tell"));
    wait_until(|| !far.seen().is_empty());
    let (recorder, local) = Recorder::local();
    let shows = |metric: &str| {
        let text = recorder.render();
        assert!(text.contains(&format!("{metric}\n")), "{metric} is missing in {text}");
    };
    metrics::with_local_recorder(&local, || {
        fixture.evacuate("b");
        shows("lycheeknot_gateway_evacuations 1");
        shows("lycheeknot_gateway_evacuated_requests{centre=\"b\"} 1");
        client.read();
        fixture.evacuate("b");
        shows("lycheeknot_gateway_evacuated_requests{centre=\"b\"} 0");
        assert!(!recorder.render().contains("evacuated_seconds{centre=\"b\"} 0\n"));
        fixture.end_evacuation("b");
        shows("lycheeknot_gateway_evacuations 0");
        shows("lycheeknot_gateway_evacuated_seconds{centre=\"b\"} 0");
    });
}
