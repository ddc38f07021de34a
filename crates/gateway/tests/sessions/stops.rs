//! What clients see of a stop.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use expect_test::expect;

use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::scene::Scene;
use crate::support::script::HEAD;
use crate::support::script::begin;
use crate::support::script::check;
use crate::support::script::event;
use crate::support::script::paced;
use crate::support::script::wait;
use crate::support::script::whole;

#[test]
fn a_stop_cuts_no_stream() {
    let endpoint = Endpoint::start("e1", vec![paced(20)]);
    let scene = Scene::new("model", &[&endpoint]);
    let mut client = Client::connect(scene.address);
    client.send(&format!("POST /once/1 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\n\r\nhi"));
    wait(|| !endpoint.seen().is_empty());
    scene.stop.cancel();
    let answer = client.read();
    assert!(answer.contains("id: 20\n"), "{answer}");
    assert!(answer.contains("\n0\n\n"), "{answer}");
}

#[test]
fn a_stop_asks_clients_to_leave_and_then_closes_idle_connections() {
    let endpoint = Endpoint::start("e1", vec![whole("200 OK", "found")]);
    let scene = Scene::new("plain", &[&endpoint]);
    let request = format!("GET /look/1 HTTP/1.1\r\n{HEAD}\r\n");
    let (mut idle, mut asking) = (Client::connect(scene.address), Client::connect(scene.address));
    assert!(idle.ask(&request).ends_with("found\n"));
    assert!(asking.ask(&request).ends_with("found\n"));
    scene.stop.cancel();
    let last = asking.ask(&request);
    assert!(last.contains("connection: close\n"), "{last}");
    assert!(last.ends_with("found\n(closed)\n"), "{last}");
    check(
        &idle.read(),
        expect![[r#"
            (closed)
        "#]],
    );
}

#[test]
fn after_the_notice_requests_that_may_outlast_the_process_are_refused() {
    let endpoint = Endpoint::start("e1", vec![paced(10)]);
    let scene = Scene::new("model", &[&endpoint]);
    let request = format!("POST /once/1 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\n\r\nhi");
    let mut streaming = Client::connect(scene.address);
    streaming.send(&request);
    wait(|| !endpoint.seen().is_empty());
    scene.stop.cancel();
    thread::sleep(Duration::from_millis(500));
    let late = Client::connect(scene.address).ask(&request);
    assert!(late.starts_with("HTTP/1.1 503"), "{late}");
    assert!(late.contains("retry-after: 0.3\n"), "{late}");
    assert!(late.ends_with("(closed)\n"), "{late}");
    assert!(streaming.read().contains("\n0\n\n"));
    assert_eq!(endpoint.seen().len(), 1);
}

/// Notice and grace of the scene take 3.3 s; the platform kills a process that is
/// still there half a second later.
#[test]
fn a_stop_is_over_in_time_also_if_an_answer_is_not() {
    let endless = vec![begin(), event(1), Step::Pause(20_000)];
    let endpoint = Endpoint::start("e1", vec![endless]);
    let scene = Scene::new("model", &[&endpoint]);
    let mut client = Client::connect(scene.address);
    client.send(&format!("POST /once/1 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\n\r\nhi"));
    wait(|| !endpoint.seen().is_empty());
    let start = Instant::now();
    scene.stop.cancel();
    wait(|| scene.is_over());
    let took = start.elapsed();
    assert!(took < Duration::from_millis(3_700), "{took:?}");
}
