//! Series of events, and clients that leave.

use std::thread;
use std::time::Duration;

use expect_test::expect;

use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::scene::Scene;
use crate::support::script::HEAD;
use crate::support::script::begin;
use crate::support::script::check;
use crate::support::script::end;
use crate::support::script::event;
use crate::support::script::send;
use crate::support::script::wait;

#[test]
fn a_stream_comes_whole() {
    let answer = vec![begin(), event(1), Step::Pause(50), event(2), end()];
    let endpoint = Endpoint::start("e1", vec![answer]);
    let scene = Scene::new("model", &[&endpoint]);
    let mut client = Client::connect(scene.address);
    check(
        &client.ask(&format!("POST /once/1 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\n\r\nhi")),
        expect![[r#"
            HTTP/1.1 200 OK
            content-type: text/event-stream
            transfer-encoding: chunked
            x-request-id: r1
            x-server-stamp: s

            10
            id: 1
            data: e1


            10
            id: 2
            data: e2


            0

        "#]],
    );
}

#[test]
fn a_stream_that_breaks_off_is_plainly_cut() {
    let answer = vec![begin(), event(1), send("20\r\nid: 2\nda"), Step::Close];
    let endpoint = Endpoint::start("e1", vec![answer]);
    let scene = Scene::new("model", &[&endpoint]);
    let mut client = Client::connect(scene.address);
    check(
        &client.ask(&format!("POST /once/1 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\n\r\nhi")),
        expect![[r#"
            HTTP/1.1 200 OK
            content-type: text/event-stream
            transfer-encoding: chunked
            x-request-id: r1
            x-server-stamp: s

            10
            id: 1
            data: e1


            (closed)
        "#]],
    );
}

#[test]
fn a_stream_goes_on_at_another_endpoint() {
    let broken = vec![begin(), event(1), send("20\r\nid: 2\nda"), Step::Close];
    let rest = vec![begin(), event(2), event(3), end()];
    let one = Endpoint::start("e1", vec![broken.clone(), rest.clone()]);
    let scene = Scene::new("model", &[&one, &Endpoint::start("e2", vec![rest])]);
    let mut client = Client::connect(scene.address);
    // Which endpoint is first follows from the part; this one leads to the one that breaks off.
    let parts = "X-Prefix-Hash: 7:10,8:10\r\n";
    let answer =
        client.ask(&format!("POST /tell/1 HTTP/1.1\r\n{HEAD}{parts}Content-Length: 2\r\n\r\nhi"));
    check(
        &answer,
        expect![[r#"
        HTTP/1.1 200 OK
        content-type: text/event-stream
        transfer-encoding: chunked
        x-request-id: r1
        x-server-stamp: s

        10
        id: 2
        data: e2


        10
        id: 3
        data: e3


        0

    "#]],
    );
}

#[test]
fn a_client_that_leaves_frees_its_endpoint() {
    for answer in [vec![Step::AwaitClose], vec![begin(), event(1), Step::AwaitClose]] {
        let endpoint = Endpoint::start("e1", vec![answer]);
        let scene = Scene::new("model", &[&endpoint]);
        let mut client = Client::connect(scene.address);
        client.send(&format!("POST /once/1 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\n\r\nhi"));
        wait(|| !endpoint.seen().is_empty());
        thread::sleep(Duration::from_millis(100));
        drop(client);
        wait(|| endpoint.seen().len() == 2);
        assert_eq!(endpoint.seen()[1], "closed soon");
    }
}
