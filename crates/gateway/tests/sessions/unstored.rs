//! Tests of streams of gateways that the store turns away while several software versions serve.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use gateway::Member;

use crate::loads::member;
use crate::store::Fake;
use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::endpoint::Step;
use crate::support::script::event;
use crate::support::script::stream_start;
use crate::versions::Gateway;
use crate::versions::once;
use crate::versions::rest;
use crate::versions::take_up;

/// Returns two endpoints of the old version, and one of the new version whose streams break off after
/// their first event.
fn endpoints() -> ([Endpoint; 2], [Endpoint; 1]) {
    let broken = vec![stream_start(), event(1), Step::Pause(30), Step::Close];
    let old = [0, 1].map(|number| Endpoint::start(&format!("e{number}"), vec![rest()]));
    (old, [Endpoint::start("e5", vec![broken.clone(), broken, rest()])])
}

/// Returns a store with the same keys that turns the writes of one gateway away.
fn shut(store: &Fake) -> Fake {
    Fake { is_read_only: Arc::new(AtomicBool::new(true)), ..store.clone() }
}

/// Three gateways, of which the first one is the hub.
fn members() -> [Member; 3] {
    [member("g1", 10), member("g2", 9), member("g3", 8)]
}

fn seen(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(|endpoint| endpoint.seen().len()).sum()
}

/// Checks that a client takes a stream of the new version up at a gateway, and that it goes on there.
fn assert_goes_on(gateway: &Gateway, id: &str, begun: &str, old: &[Endpoint]) {
    let of_old = seen(old);
    let response = Client::connect(gateway.fixture.address).exchange(&take_up(id, begun));
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert_eq!(seen(old), of_old);
}

/// Lets a gateway hear of the new version only after the store has its journal with the old one.
fn hear(gateway: &Gateway, old: &[Endpoint], new: &[Endpoint]) {
    new.iter().for_each(|endpoint| gateway.fixture.announce("model", endpoint, "v2"));
    old.iter().for_each(|endpoint| gateway.fixture.routing.remove_endpoint_now(&endpoint.id));
    thread::sleep(Duration::from_millis(100));
}

/// Guards against ORDER: the journal of a gateway that the store turns away names the old version only,
/// and just the hub knows that its streams began at the new one.
#[test]
fn a_stream_that_only_the_hub_knows_goes_on_at_the_other_version_at_a_third_gateway() {
    let (old, new) = endpoints();
    let (store, members) = (Fake::default(), members());
    let hub = Gateway::start_among(&store, &old, &new, &members, 0);
    let third = Gateway::start_among(&store, &old, &new, &members, 1);
    let turned_away_store = Fake { is_read_only: Arc::default(), ..store.clone() };
    let turned_away = Gateway::start_among(&turned_away_store, &old, &[], &members, 2);
    turned_away_store.is_read_only.store(true, Ordering::SeqCst);
    hear(&turned_away, &old, &new);
    for id in ["r1", "r2"] {
        let begun = Client::connect(turned_away.fixture.address).exchange(&once(id));
        assert!(begun.ends_with("data: e1\n\n\n(closed)\n"), "{begun}");
    }
    turned_away.kill();
    assert_goes_on(&third, "s1", "r1", &old);
    // The hub has stored them in place of the gateway that is gone, and goes as well.
    thread::sleep(Duration::from_millis(300));
    hub.kill();
    third.kill();
    let fourth = Gateway::start_among(&store, &old, &new, &members[1..2], 0);
    assert_goes_on(&fourth, "s2", "r2", &old);
    fourth.kill();
}

/// Guards against ORDER: a gateway that neither the store nor another gateway can hear begins streams
/// at a version that its journal does not name.
#[test]
fn a_stream_begins_whose_version_nobody_else_can_learn() {
    let (old, new) = endpoints();
    let store = Fake::default();
    let members = members();
    let gateway = Gateway::start_among(&store, &old, &[], &members, 2);
    store.is_read_only.store(true, Ordering::SeqCst);
    store.is_unreadable.store(true, Ordering::SeqCst);
    // Nothing listens at their addresses.
    gateway.set_members(&members);
    hear(&gateway, &old, &new);
    let mut client = Client::connect(gateway.fixture.address);
    client.send(&once("r1"));
    thread::sleep(Duration::from_millis(800));
    let response = client.read();
    assert!(response.ends_with("(closed)\n") && !response.contains("data: e1"), "{response}");
    // What can't be served is refused at once from then on.
    let response = Client::connect(gateway.fixture.address).exchange(&once("r2"));
    assert!(response.contains("can't be recorded"), "{response}");
    assert_eq!(seen(&new), 1);
    // Once the store takes writes again, streams begin.
    store.is_read_only.store(false, Ordering::SeqCst);
    store.is_unreadable.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(2_600));
    let begun = Client::connect(gateway.fixture.address).exchange(&once("r3"));
    assert!(begun.contains("data: e1"), "{begun}");
    gateway.kill();
}

/// Guards against ORDER: the store is down, and a gateway ends together with the only one that has its
/// streams. A process that ended before the rollout knew one version, which tells nothing of them.
#[test]
fn a_stream_whose_gateway_and_replica_are_gone_goes_on_at_the_version_of_an_older_process() {
    let (old, new) = endpoints();
    let (store, members) = (Fake::default(), members());
    Gateway::start_among(&store, &old, &[], &members, 1).kill();
    let hub = Gateway::start_among(&store, &old, &new, &members, 0);
    let third = Gateway::start_among(&store, &old, &new, &members, 1);
    let gateway = Gateway::start_among(&store, &old, &new, &members, 2);
    thread::sleep(Duration::from_millis(300));
    store.is_read_only.store(true, Ordering::SeqCst);
    old.iter().for_each(|endpoint| gateway.fixture.routing.remove_endpoint_now(&endpoint.id));
    let begun = Client::connect(gateway.fixture.address).exchange(&once("r1"));
    assert!(begun.ends_with("data: e1\n\n\n(closed)\n"), "{begun}");
    gateway.kill();
    hub.kill();
    let before = seen(&old);
    let response = Client::connect(third.fixture.address).exchange(&take_up("s1", "r1"));
    assert!(response.contains("which software version"), "{response}");
    assert_eq!(seen(&old), before);
    third.kill();
}

/// Guards against ORDER: the store is down, and a gateway ends together with the only one that has its
/// streams. They are of a version that no journal names yet.
#[test]
fn a_stream_begins_at_a_version_that_no_journal_names() {
    let (old, new) = endpoints();
    let (store, members) = (Fake::default(), members());
    let hub = Gateway::start_among(&store, &old, &[], &members, 0);
    let gateway = Gateway::start_among(&store, &old, &[], &members, 2);
    thread::sleep(Duration::from_millis(300));
    store.is_read_only.store(true, Ordering::SeqCst);
    hear(&gateway, &old, &new);
    let response = Client::connect(gateway.fixture.address).exchange(&once("r1"));
    assert!(!response.contains("data: e1"), "{response}");
    let response = Client::connect(gateway.fixture.address).exchange(&once("r2"));
    assert!(response.contains("can't be recorded"), "{response}");
    // At a version that they name, streams begin as before.
    old.iter().for_each(|endpoint| gateway.fixture.announce("model", endpoint, "v1"));
    let response = Client::connect(gateway.fixture.address).exchange(&once("r3"));
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert_eq!((seen(&old), seen(&new)), (1, 1));
    gateway.kill();
    hub.kill();
}

/// Guards against refusals, and against ORDER: a process that starts while the store is down has no journal, but
/// the one with its replicas has, so that nobody takes its streams for those of another version.
#[test]
fn streams_of_a_gateway_that_starts_in_an_outage_are_refused() {
    let (old, new) = endpoints();
    let (store, members) = (Fake::default(), members());
    Gateway::start_among(&store, &old, &[], &members, 1).kill();
    let hub = Gateway::start_among(&store, &old, &new, &members, 0);
    let third = Gateway::start_among(&store, &old, &new, &members, 1);
    thread::sleep(Duration::from_millis(300));
    store.is_read_only.store(true, Ordering::SeqCst);
    let gateway = Gateway::start_among(&store, &old, &new, &members, 2);
    old.iter().for_each(|endpoint| gateway.fixture.routing.remove_endpoint_now(&endpoint.id));
    let begun = Client::connect(gateway.fixture.address).exchange(&once("r1"));
    assert!(begun.ends_with("data: e1\n\n\n(closed)\n"), "{begun}");
    gateway.kill();
    hub.kill();
    let response = Client::connect(third.fixture.address).exchange(&take_up("s1", "r1"));
    assert!(response.contains("which software version"), "{response}");
    third.kill();
}

/// Guards against ORDER: all processes end, all leases with them, and meanwhile the old version goes.
#[test]
fn a_stream_goes_on_at_the_version_that_is_left_after_all_journals_were_lost() {
    let (old, new) = endpoints();
    let store = Fake::default();
    let gateway = Gateway::start(&store, &old, &new);
    let begun = Client::connect(gateway.fixture.address).exchange(&once("r1"));
    assert!(begun.starts_with("HTTP/1.1 200 "), "{begun}");
    gateway.kill();
    store.entries.lock().retain(|entry| entry.key == "lycheeknot-streams/in-use");
    for id in ["s1", "s2"] {
        let other = Gateway::start(&store, &[], &new);
        thread::sleep(Duration::from_millis(300));
        let before = seen(&new);
        let response = Client::connect(other.fixture.address).exchange(&take_up(id, "r1"));
        assert!(response.contains("which software version"), "{response}");
        assert_eq!(seen(&new), before);
        other.kill();
    }
}

/// Guards against ORDER: a store that answers no write is no reason to send the first event, and other
/// gateways store the stream as if the write had failed.
#[test]
fn a_stream_of_a_gateway_whose_write_hangs_goes_on_at_the_other_version() {
    let (old, new) = endpoints();
    let (store, members) = (Fake::default(), members());
    let hub = Gateway::start_among(&store, &old, &new, &members, 0);
    let silent_store = Fake { is_silent: Arc::default(), ..store.clone() };
    let silent = Gateway::start_among(&silent_store, &old, &[], &members, 2);
    silent_store.is_silent.store(true, Ordering::SeqCst);
    hear(&silent, &old, &new);
    thread::sleep(Duration::from_millis(300));
    let begun = Client::connect(silent.fixture.address).exchange(&once("r1"));
    assert!(begun.ends_with("data: e1\n\n\n(closed)\n"), "{begun}");
    thread::sleep(Duration::from_millis(300));
    silent.kill();
    hub.kill();
    let other = Gateway::start_among(&store, &old, &new, &members[1..2], 0);
    assert_goes_on(&other, "s1", "r1", &old);
    other.kill();
}

/// Guards against streams that can't be taken up: a process that starts late in a rollout knows only the
/// newer version, while the journal of one that has ended names only the older one.
#[test]
fn a_stream_of_a_process_that_started_late_in_a_rollout_is_refused_elsewhere() {
    let (old, new) = endpoints();
    let store = Fake::default();
    Gateway::start(&store, &old, &[]).kill();
    let late = Gateway::start(&store, &[], &new);
    let begun = Client::connect(late.fixture.address).exchange(&once("r1"));
    assert!(begun.ends_with("data: e1\n\n\n(closed)\n"), "{begun}");
    late.kill();
    let other = Gateway::start(&store, &old, &new);
    assert_goes_on(&other, "s1", "r1", &old);
    other.kill();
}

/// Guards against ORDER: a gateway starts while the store turns it away, so it has no journal at all.
#[test]
fn a_stream_of_a_gateway_without_a_journal_goes_on_at_the_other_version() {
    let (old, new) = endpoints();
    let (store, members) = (Fake::default(), members());
    let hub = Gateway::start_among(&store, &old, &[], &members, 0);
    let third = Gateway::start_among(&store, &old, &[], &members, 1);
    let turned_away = Gateway::start_among(&shut(&store), &[], &new, &members, 2);
    let begun = Client::connect(turned_away.fixture.address).exchange(&once("r1"));
    assert!(begun.ends_with("data: e1\n\n\n(closed)\n"), "{begun}");
    turned_away.kill();
    // The others hear of the new version late.
    let response = Client::connect(third.fixture.address).exchange(&take_up("s1", "r1"));
    assert!(response.contains("no endpoint of the version"), "{response}");
    new.iter().for_each(|endpoint| third.fixture.announce("model", endpoint, "v2"));
    assert_goes_on(&third, "s2", "r1", &old);
    hub.kill();
    third.kill();
}

/// Guards against LOST: a gateway ends whose journal has lapsed, and a new version joins after that.
#[test]
fn a_stream_of_a_gateway_whose_journal_lapsed_is_refused_elsewhere() {
    let (old, new) = endpoints();
    let store = Fake::default();
    let other = Gateway::start(&store, &old, &[]);
    Gateway::start(&store, &old, &[]).kill();
    // Its read shows the other one that its own journal has gone as well.
    store.entries.lock().retain(|entry| !entry.key.starts_with("lycheeknot-streams/"));
    store.has_lapsed.store(true, Ordering::SeqCst);
    let seen_by = |id: &str, begun: &str| {
        let response = Client::connect(other.fixture.address).exchange(&take_up(id, begun));
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    };
    seen_by("s1", "r1");
    // The new version joins shortly after the return, before others have written again.
    thread::sleep(Duration::from_millis(200));
    new.iter().for_each(|endpoint| other.fixture.announce("model", endpoint, "v2"));
    thread::sleep(Duration::from_millis(100));
    seen_by("s2", "r2");
    assert_eq!(seen(&new), 0);
    other.kill();
}
