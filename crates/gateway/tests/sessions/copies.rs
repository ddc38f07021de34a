//! Shared parts of prompts that are copied from the endpoint that read them.

use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::endpoint::header;
use crate::support::scene::Scene;
use crate::support::script::HEAD;
use crate::support::script::begin;
use crate::support::script::end;
use crate::support::script::event;

/// Enough endpoints that one of them may be left out.
const NAMES: [&str; 4] = ["e1", "e2", "e3", "e4"];

/// Failures in a row after which an endpoint is left out.
const FAILURES: usize = 3;

fn sound() -> Vec<Step> {
    vec![begin(), event(1), end()]
}

/// A request that may run once, with a shared part long enough to be copied.
fn request(id: usize) -> String {
    let head = HEAD.replace("r1", &format!("r{id}"));
    format!(
        "POST /once/1 HTTP/1.1\r\n{head}X-Prefix-Hash: 7:600,8:10\r\nContent-Length: 2\r\n\r\nhi"
    )
}

fn ask(scene: &Scene, id: usize) {
    Client::connect(scene.address).ask(&request(id));
}

/// The endpoint that the part leads to where all are alike.
fn home() -> usize {
    let endpoints: Vec<Endpoint> =
        NAMES.iter().map(|name| Endpoint::start(name, vec![sound()])).collect();
    let scene = Scene::new("model", &endpoints.iter().collect::<Vec<_>>());
    ask(&scene, 0);
    endpoints.iter().position(|endpoint| !endpoint.seen().is_empty()).expect("one was asked")
}

#[test]
fn a_part_is_not_copied_from_an_endpoint_that_fails() {
    let home = home();
    let script = |index| match index == home {
        true => vec![vec![Step::Close]],
        false => vec![sound()],
    };
    let endpoints: Vec<Endpoint> =
        (0..NAMES.len()).map(|index| Endpoint::start(NAMES[index], script(index))).collect();
    let scene = Scene::new("model", &endpoints.iter().collect::<Vec<_>>());
    (0..FAILURES).for_each(|id| ask(&scene, id));
    assert_eq!(endpoints[home].seen().len(), FAILURES, "it was asked until it was left out");
    ask(&scene, FAILURES);
    let mut others = endpoints.iter().enumerate().filter(|(index, _)| *index != home);
    let (_, other) = others.find(|(_, endpoint)| !endpoint.seen().is_empty()).expect("one more");
    assert_eq!(header(&other.seen()[0], "kv-fetch"), None, "{:?}", other.seen());
}

#[test]
fn a_part_is_copied_from_an_endpoint_that_leaves() {
    let home = home();
    let endpoints: Vec<Endpoint> =
        NAMES.iter().map(|name| Endpoint::start(name, vec![sound()])).collect();
    let scene = Scene::new("model", &endpoints.iter().collect::<Vec<_>>());
    ask(&scene, 0);
    scene.drain("model", &endpoints[home]);
    ask(&scene, 1);
    let mut others = endpoints.iter().enumerate().filter(|(index, _)| *index != home);
    let (_, other) = others.find(|(_, endpoint)| !endpoint.seen().is_empty()).expect("one more");
    let source = header(&other.seen()[0], "kv-fetch");
    assert_eq!(source, Some(endpoints[home].address.to_string()));
}
