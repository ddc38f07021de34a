//! Tests of streams before endpoints of several software versions.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use gateway::Member;
use gateway::Peers;
use gateway::register;
use rpc::view::Source;
use services::store::Entry;
use tokio::runtime::Builder;
use tokio_util::sync::CancellationToken;

use crate::loads::member;
use crate::loads::peers;
use crate::store::Fake;
use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::event;
use crate::support::script::stream_end;
use crate::support::script::stream_start;

#[test]
fn a_broken_stream_is_not_resumed_at_an_endpoint_of_another_version() {
    for _ in 0..24 {
        let broken = vec![stream_start(), event(1), Step::Pause(30), Step::Close];
        let old = Endpoint::start("e1", vec![broken]);
        let new = Endpoint::start("e2", vec![rest()]);
        let fixture = Fixture::new("model", &[&old]);
        fixture.announce("model", &new, "v2");
        let response = Client::connect(fixture.address).exchange(&fresh("r1"));
        if !old.seen().is_empty() {
            assert!(response.ends_with("data: e1\n\n\n(closed)\n"), "{response}");
            assert_eq!(new.seen(), Vec::<String>::new());
            return;
        }
    }
    panic!("no stream began at the old version");
}

#[test]
fn a_stream_that_no_version_is_known_of_is_not_taken_up() {
    let old = Endpoint::start("e1", vec![rest()]);
    let new = Endpoint::start("e2", vec![rest()]);
    let fixture = Fixture::new("model", &[&old]);
    fixture.announce("model", &new, "v2");
    let response = Client::connect(fixture.address).exchange(&take_up("r9", "r8"));
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert_eq!((old.seen().len(), new.seen().len()), (0, 0));
}

#[test]
fn a_stream_is_taken_up_at_the_version_that_began_it() {
    let broken = vec![stream_start(), event(1), Step::Pause(30), Step::Close];
    let old: Vec<Endpoint> = (0..2)
        .map(|number| Endpoint::start(&format!("e{number}"), vec![broken.clone(), rest()]))
        .collect();
    let fixture = Fixture::new("model", &old.iter().collect::<Vec<_>>());
    // One attempt only, so the stream is not resumed within the response.
    let begun = Client::connect(fixture.address).exchange(&once("r1"));
    assert!(begun.ends_with("data: e1\n\n\n(closed)\n"), "{begun}");
    let new: Vec<Endpoint> =
        (5..9).map(|number| Endpoint::start(&format!("e{number}"), vec![rest()])).collect();
    for endpoint in &new {
        fixture.announce("model", endpoint, "v2");
    }
    thread::sleep(Duration::from_millis(100));
    for number in 2..8 {
        let response =
            Client::connect(fixture.address).exchange(&take_up(&format!("r{number}"), "r1"));
        assert!(response.ends_with("\n0\n\n"), "{response}");
    }
    assert!(new.iter().all(|endpoint| endpoint.seen().is_empty()));
}

#[test]
fn the_version_of_a_stream_is_known_after_all_gateways_were_killed() {
    let broken = vec![stream_start(), event(1), Step::Pause(30), Step::Close];
    let scripts = vec![broken, rest()];
    let old = [0, 1].map(|number| Endpoint::start(&format!("e{number}"), scripts.clone()));
    let new = [5, 6].map(|number| Endpoint::start(&format!("e{number}"), scripts.clone()));
    let store = Fake::default();
    let first = Gateway::start(&store, &old, &new);
    let begun = Client::connect(first.fixture.address).exchange(&once("r1"));
    assert!(begun.ends_with("(closed)\n"), "{begun}");
    let used = |endpoints: &[Endpoint]| endpoints.iter().any(|it| !it.seen().is_empty());
    let is_old = used(&old);
    let (same, others) = if is_old { (&old, &new) } else { (&new, &old) };
    assert!(!used(others));
    // Its first event has reached the client, so the store has its version by now.
    first.kill();

    let second = Gateway::start(&store, &old, &new);
    for number in 2..8 {
        let request = take_up(&format!("r{number}"), "r1");
        let response = Client::connect(second.fixture.address).exchange(&request);
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        let unknown = take_up(&format!("s{number}"), "r999");
        let response = Client::connect(second.fixture.address).exchange(&unknown);
        assert!(response.contains("which software version"), "{response}");
    }
    assert!(!used(others));
    second.kill();

    // The endpoints of the version that began it are gone.
    let seen = same.each_ref().map(|endpoint| endpoint.seen().len());
    let third = match is_old {
        true => Gateway::start(&store, &[], &new),
        false => Gateway::start(&store, &old, &[]),
    };
    let response = Client::connect(third.fixture.address).exchange(&take_up("r8", "r1"));
    assert!(response.contains("no endpoint of the version"), "{response}");
    assert!(!used(others));
    assert_eq!(same.each_ref().map(|endpoint| endpoint.seen().len()), seen);
    third.kill();
}

#[test]
fn streams_before_a_single_version_are_taken_up_after_all_gateways_were_killed() {
    let old = [0, 1].map(|number| Endpoint::start(&format!("e{number}"), vec![rest()]));
    let store = Fake::default();
    let first = Gateway::start(&store, &old, &[]);
    first.kill();
    let second = Gateway::start(&store, &old, &[]);
    let response = Client::connect(second.fixture.address).exchange(&take_up("r2", "r1"));
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    second.kill();
}

#[test]
fn streams_are_taken_up_while_many_gateways_keep_the_store_busy() {
    let old = [0, 1].map(|number| Endpoint::start(&format!("e{number}"), vec![rest()]));
    let store = Fake { list_time: Duration::from_millis(900), ..Fake::default() };
    let gateway = Gateway::start(&store, &old, &[]);
    for number in 2..4 {
        let request = take_up(&format!("r{number}"), "r1");
        let response = Client::connect(gateway.fixture.address).exchange(&request);
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
    gateway.kill();
}

#[test]
fn a_stream_of_the_new_version_goes_on_at_the_old_one_after_a_restore_of_the_store() {
    let broken = vec![stream_start(), event(1), Step::Pause(30), Step::Close];
    let old = [0, 1].map(|number| Endpoint::start(&format!("e{number}"), vec![rest()]));
    let new = [5, 6].map(|number| Endpoint::start(&format!("e{number}"), vec![broken.clone()]));
    let store = Fake::default();
    let (first, second) = (Gateway::start(&store, &old, &[]), Gateway::start(&store, &old, &[]));
    // From before the new version, of which both gateways hear now.
    let copy = store.entries.lock().clone();
    for gateway in [&first, &second] {
        new.iter().for_each(|endpoint| gateway.fixture.announce("model", endpoint, "v2"));
    }
    thread::sleep(Duration::from_millis(300));
    let begin = |number| {
        let response =
            Client::connect(first.fixture.address).exchange(&once(&format!("r{number}")));
        response.ends_with("(closed)\n").then_some(number)
    };
    let begun: Vec<u32> = (0..40).filter_map(begin).collect();
    assert!(!begun.is_empty(), "no stream began at the new version");
    first.kill();
    restore(&store, copy);
    let seen = old.each_ref().map(|endpoint| endpoint.seen().len());
    // What the first gateway has stored of them is lost.
    for number in begun.iter().take(3) {
        let request = take_up(&format!("s{number}"), &format!("r{number}"));
        let response = Client::connect(second.fixture.address).exchange(&request);
        assert!(response.contains("which software version"), "{response}");
    }
    assert_eq!(old.each_ref().map(|endpoint| endpoint.seen().len()), seen);
    second.kill();
}

#[test]
fn streams_of_a_gateway_that_ended_before_a_new_version_came_are_refused_elsewhere() {
    let old = [0, 1].map(|number| Endpoint::start(&format!("e{number}"), vec![rest()]));
    let new = [5, 6].map(|number| Endpoint::start(&format!("e{number}"), vec![rest()]));
    let store = Fake::default();
    let (first, second) = (Gateway::start(&store, &old, &[]), Gateway::start(&store, &old, &[]));
    first.kill();
    new.iter().for_each(|endpoint| second.fixture.announce("model", endpoint, "v2"));
    thread::sleep(Duration::from_millis(300));
    for number in 2..8 {
        // The first gateway stored no streams, as it knew one version only.
        let request = take_up(&format!("r{number}"), "r1");
        let response = Client::connect(second.fixture.address).exchange(&request);
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
    assert!(new.iter().all(|endpoint| endpoint.seen().is_empty()));
    second.kill();
}

#[test]
fn streams_begin_at_a_version_that_could_not_be_stored_though_others_are_free() {
    let old = [0, 1].map(|number| Endpoint::start(&format!("e{number}"), vec![rest()]));
    let new = [5, 6].map(|number| Endpoint::start(&format!("e{number}"), vec![rest()]));
    let store = Fake::default();
    let gateway = Gateway::start(&store, &old, &[]);
    store.is_read_only.store(true, Ordering::SeqCst);
    new.iter().for_each(|endpoint| gateway.fixture.announce("model", endpoint, "v2"));
    thread::sleep(Duration::from_millis(300));
    for number in 0..12 {
        let response =
            Client::connect(gateway.fixture.address).exchange(&once(&format!("r{number}")));
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
    // Other gateways would take them for streams of the old version.
    assert!(new.iter().all(|endpoint| endpoint.seen().is_empty()));
    gateway.kill();
}

#[test]
fn a_gateway_that_is_out_of_step_takes_streams_of_a_new_version_up_at_the_old_one() {
    let broken = vec![stream_start(), event(1), Step::Pause(30), Step::Close];
    let old = [0, 1].map(|number| Endpoint::start(&format!("e{number}"), vec![rest()]));
    let new = [5, 6].map(|number| Endpoint::start(&format!("e{number}"), vec![broken.clone()]));
    let store = Fake::default();
    // The second gateway hears nothing of the new version while it is cut off or stands still.
    let (first, second) = (Gateway::start(&store, &old, &new), Gateway::start(&store, &old, &[]));
    let begin = |number: &u32| {
        let response =
            Client::connect(first.fixture.address).exchange(&once(&format!("r{number}")));
        response.ends_with("(closed)\n")
    };
    let begun = (0..40).find(begin).expect("a stream of the new version");
    let seen = old.each_ref().map(|endpoint| endpoint.seen().len());
    let check = |expected: &str| {
        let request = take_up("s1", &format!("r{begun}"));
        let response = Client::connect(second.fixture.address).exchange(&request);
        assert!(response.contains(expected), "{response}");
        assert_eq!(old.each_ref().map(|endpoint| endpoint.seen().len()), seen);
    };
    // While it can't read the store, nothing tells it that there is a new version.
    store.is_unreadable.store(true, Ordering::SeqCst);
    check("which software version");
    // It reads of the new version before it hears of its endpoints.
    store.is_unreadable.store(false, Ordering::SeqCst);
    check("no endpoint of the version");
    new.iter().for_each(|endpoint| second.fixture.announce("model", endpoint, "v2"));
    let request = take_up("s2", &format!("r{begun}"));
    let response = Client::connect(second.fixture.address).exchange(&request);
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert_eq!(old.each_ref().map(|endpoint| endpoint.seen().len()), seen);
    first.kill();
    second.kill();
}

#[test]
fn a_replicated_stream_is_unknown_after_a_restore_of_the_store() {
    let broken = vec![stream_start(), event(1), Step::Pause(30), Step::Close];
    let old = [0, 1].map(|number| Endpoint::start(&format!("e{number}"), vec![rest()]));
    let scripts = vec![broken, rest()];
    let new = [5, 6].map(|number| Endpoint::start(&format!("e{number}"), scripts.clone()));
    let store = Fake::default();
    let (first, second) = (Gateway::start(&store, &old, &[]), Gateway::start(&store, &old, &[]));
    let copy = store.entries.lock().clone();
    for gateway in [&first, &second] {
        new.iter().for_each(|endpoint| gateway.fixture.announce("model", endpoint, "v2"));
    }
    thread::sleep(Duration::from_millis(300));
    let begin = |number: &u32| {
        let response =
            Client::connect(first.fixture.address).exchange(&once(&format!("r{number}")));
        response.ends_with("(closed)\n")
    };
    let begun = (0..40).find(begin).expect("a stream of the new version");
    second.peers.learn_streams(&first.peers.streams());
    first.kill();
    restore(&store, copy);
    let seen = old.each_ref().map(|endpoint| endpoint.seen().len());
    let check = |gateway: &Gateway, id: &str| {
        let request = take_up(id, &format!("r{begun}"));
        let response = Client::connect(gateway.fixture.address).exchange(&request);
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        assert_eq!(old.each_ref().map(|endpoint| endpoint.seen().len()), seen);
    };
    check(&second, "s1");
    // It has stored the replica, which a third gateway reads.
    thread::sleep(Duration::from_millis(1_500));
    let third = Gateway::start(&store, &old, &new);
    check(&third, "s2");
    second.kill();
    third.kill();
}

#[test]
fn a_stream_of_a_gateway_that_ends_at_once_during_an_outage_of_the_store_is_unknown_elsewhere() {
    let broken = vec![stream_start(), event(1), Step::Pause(30), Step::Close];
    let scripts = vec![broken, rest()];
    let old = [0, 1].map(|number| Endpoint::start(&format!("e{number}"), scripts.clone()));
    let new = [5, 6].map(|number| Endpoint::start(&format!("e{number}"), scripts.clone()));
    let store = Fake::default();
    let members = [member("g1", 10), member("g2", 9)];
    let [first, second] = [0, 1].map(|own| Gateway::start_among(&store, &old, &new, &members, own));
    thread::sleep(Duration::from_millis(500));
    store.is_read_only.store(true, Ordering::SeqCst);
    let begun = Client::connect(first.fixture.address).exchange(&once("r1"));
    assert!(begun.ends_with("(closed)\n"), "{begun}");
    first.kill();
    let seen = |endpoints: &[Endpoint]| endpoints.iter().map(|it| it.seen().len()).sum::<usize>();
    let (of_old, of_new) = (seen(&old), seen(&new));
    let response = Client::connect(second.fixture.address).exchange(&take_up("r2", "r1"));
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    // At the version that had begun it.
    assert_eq!((seen(&old) > of_old, seen(&new) > of_new), (of_old > 0, of_new > 0));
    second.kill();
}

/// Lets a store come back from a copy with these keys.
fn restore(store: &Fake, copy: Vec<Entry>) {
    *store.entries.lock() = copy;
    store.restores.fetch_add(1, Ordering::SeqCst);
}

/// A gateway with a store.
pub struct Gateway {
    pub fixture: Fixture,
    pub peers: Arc<Peers>,
    cancel: CancellationToken,
}

impl Gateway {
    /// Starts a gateway before endpoints of two versions, and waits until it has stored these.
    pub fn start(store: &Fake, old: &[Endpoint], new: &[Endpoint]) -> Gateway {
        Gateway::start_among(store, old, new, &[member("g1", 10)], 0)
    }

    /// Starts the one of several gateways that is at this place of the members.
    pub fn start_among(
        store: &Fake,
        old: &[Endpoint],
        new: &[Endpoint],
        members: &[Member],
        own: usize,
    ) -> Gateway {
        let fixture = Fixture::new("model", &old.iter().collect::<Vec<_>>());
        new.iter().for_each(|endpoint| fixture.announce("model", endpoint, "v2"));
        let (cancel, store) = (CancellationToken::new(), store.clone());
        let peers = peers(&fixture.routing, members, own);
        let (address, known, token) = (members[own].address, Arc::clone(&peers), cancel.clone());
        thread::spawn(move || {
            let mut builder = Builder::new_current_thread();
            let runtime = builder.enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let served = rpc::view::serve(address, Arc::clone(&known) as _, token.clone());
                let ((), served) = tokio::join!(register(&store, &known, token), served);
                served.expect("a server of peers");
            });
        });
        thread::sleep(Duration::from_millis(300));
        Gateway { fixture, peers, cancel }
    }

    /// Sets which gateways it takes for registered. All but the last one are others.
    pub fn set_members(&self, members: &[Member]) {
        let others = &members[..members.len() - 1];
        let addresses = others.iter().map(|member| member.address).collect();
        self.peers.set_registered(addresses, others.to_vec());
    }

    /// Ends it; what it has stored stays, as its lease has not ended.
    pub fn kill(self) {
        self.cancel.cancel();
    }
}

/// A stream that goes on after the first event.
pub fn rest() -> Vec<Step> {
    vec![stream_start(), event(2), stream_end()]
}

/// A request for a stream that may be resumed.
fn fresh(id: &str) -> String {
    request("tell", id, "")
}

/// A request for the same stream, from a route that allows one attempt.
pub fn once(id: &str) -> String {
    request("single", id, "")
}

/// A request of a client that takes up the stream of another request after its first event.
pub fn take_up(id: &str, begun: &str) -> String {
    request("tell", id, &format!("Last-Event-Id: 1\r\nResumes: {begun}\r\n"))
}

fn request(route: &str, id: &str, headers: &str) -> String {
    let common = REQUEST_HEADERS.replace("r1", id);
    format!("POST /{route}/1 HTTP/1.1\r\n{common}{headers}Content-Length: 2\r\n\r\nhi")
}
