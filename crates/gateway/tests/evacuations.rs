//! Tests of which data centres a gateway takes for evacuated, before a stand-in of the store.

#[path = "support/address.rs"]
mod address;
#[path = "support/entries.rs"]
mod entries;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gateway::Member;
use gateway::Peers;
use gateway::Routing;
use platform::Client;
use platform::Codec;
use rpc::view::Source;
use services::Feed;
use services::Store;
use services::feed::Listing;
use services::store::Change;
use services::store::Commit;
use services::store::Error;
use services::store::Outcome;
use services::store::Put;
use standins::key_value;
use standins::key_value::Options;
use standins::server::Server;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::address::free_address;
use crate::entries::member;
use crate::entries::table;

/// Bound for an evacuation to be in force after the operator's write.
const EVACUATION_BOUND: Duration = Duration::from_millis(5_000);

/// What that bound is extended by while the store is not stable.
const UNSTABLE_BOUND: Duration = Duration::from_millis(6_000);

/// Time in which the watches of a test are surely waiting again.
const SETTLED: Duration = Duration::from_millis(700);

/// How long an evacuation is kept that is missing after an outage or a restore.
const GRACE: Duration = Duration::from_millis(2_200);

/// A store that one gateway reads over a link that can break.
struct Link<'a> {
    client: &'a Client,
    is_down: Cell<bool>,
    /// Prefixes of all calls.
    calls: RefCell<Vec<String>>,
}

impl Link<'_> {
    fn new(client: &Client) -> Link<'_> {
        Link { client, is_down: Cell::new(false), calls: RefCell::default() }
    }

    fn check(&self, prefix: &str) -> Result<(), Error> {
        self.calls.borrow_mut().push(prefix.to_owned());
        if self.is_down.get() { Err(Error::Down("cut".to_owned())) } else { Ok(()) }
    }
}

impl Feed for Link<'_> {
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, Error>> {
        let scan = async move {
            self.check(prefix)?;
            self.client.scan(prefix).await
        };
        scan.boxed_local()
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Change, Error>> {
        let change = async move {
            self.check(prefix)?;
            let mut changes = self.client.changes(prefix, after, wait).boxed_local();
            loop {
                tokio::select! {
                    change = &mut changes => return change,
                    () = sleep(Duration::from_millis(5)) => {}
                }
                if self.is_down.get() {
                    return Err(Error::Down("cut".to_owned()));
                }
            }
        };
        change.boxed_local()
    }
}

/// Starts a store with a configuration and an endpoint of the data centre `a`.
async fn store() -> (Server, Client) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = key_value::start(listen, Options::default()).expect("a store");
    let client = Client::new(server.addr());
    write(&client, "op/config", &table(3).value).await;
    let announced = r#"{"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "ready"}"#;
    write(&client, "servers/e", announced.as_bytes()).await;
    (server, client)
}

async fn write(client: &Client, key: &str, value: &[u8]) -> u64 {
    let put = Put { key: key.to_owned(), value: value.to_vec(), lease: None };
    match client.commit(&Commit { puts: vec![put], ..Commit::default() }).await {
        Ok(Outcome::Written(version)) => services::version::revision(version),
        outcome => panic!("{outcome:?}"),
    }
}

async fn evacuate(client: &Client, centre: &str) -> u64 {
    write(client, &format!("op/evacuate/{centre}"), b"{}").await
}

async fn remove(client: &Client, key: &str) {
    let commit = Commit { removes: vec![key.to_owned()], ..Commit::default() };
    assert!(matches!(client.commit(&commit).await, Ok(Outcome::Written(_))));
}

async fn end_evacuation(client: &Client, centre: &str) {
    remove(client, &format!("op/evacuate/{centre}")).await;
}

fn evacuated(routing: &Routing) -> String {
    routing.evacuated().join(",")
}

async fn wait_until(routing: &Routing, wanted: &str, bound: Duration) {
    let start = Instant::now();
    while evacuated(routing) != wanted {
        let known = evacuated(routing);
        assert!(start.elapsed() < bound, "{known:?} is evacuated instead of {wanted:?}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Checks that exactly these data centres are evacuated for a time.
async fn stays(routing: &Routing, wanted: &str, time: Duration) {
    let start = Instant::now();
    while start.elapsed() < time {
        assert_eq!(evacuated(routing), wanted, "after {:?}", start.elapsed());
        sleep(Duration::from_millis(5)).await;
    }
}

fn peers(vm: &str) -> Peers {
    Peers::new(Arc::default(), member(vm, free_address()), 1, Vec::new())
}

/// Runs a gateway until the scenario is over.
async fn run(feed: &dyn Feed, peers: &Peers, scenario: impl Future<Output = ()>) {
    let cancel = CancellationToken::new();
    let scenario = async {
        scenario.await;
        cancel.cancel();
    };
    tokio::join!(
        gateway::follow(&Codec, feed, peers, cancel.clone()).boxed_local(),
        scenario.boxed_local()
    );
}

#[ntex::test]
async fn an_evacuation_begins_or_ends_late() {
    let (_server, client) = store().await;
    let (peers, link) = (peers("g1"), Link::new(&client));
    let scenario = async {
        let routing = peers.routing();
        routing.wait_until_complete(Duration::from_millis(5)).await;
        sleep(SETTLED).await;
        evacuate(&client, "b").await;
        wait_until(routing, "b", EVACUATION_BOUND).await;
        evacuate(&client, "a-1").await;
        wait_until(routing, "a-1,b", EVACUATION_BOUND).await;
        end_evacuation(&client, "b").await;
        wait_until(routing, "a-1", EVACUATION_BOUND).await;
        // Neither other keys of operators nor the configuration change it.
        write(&client, "op/other", b"\xff").await;
        write(&client, "op/config", &table(4).value).await;
        let start = Instant::now();
        while routing.table().version() != 4 {
            assert!(start.elapsed() < EVACUATION_BOUND, "the configuration is not in force");
            sleep(Duration::from_millis(5)).await;
        }
        remove(&client, "op/config").await;
        remove(&client, "op/other").await;
        stays(routing, "a-1", SETTLED).await;
        assert_eq!(routing.table().version(), 4, "the configuration stays in force");
    };
    run(&link, &peers, scenario).await;
    let mut prefixes = link.calls.take();
    prefixes.sort();
    prefixes.dedup();
    assert_eq!(prefixes, ["op/", "servers/"], "there are two watches as before");
}

#[ntex::test]
async fn a_value_that_is_no_object_keeps_an_evacuation_from_being_in_force() {
    let (_server, client) = store().await;
    write(&client, "op/evacuate/b", b"\xff\x00garbage").await;
    let peers = peers("g1");
    let scenario = async {
        wait_until(peers.routing(), "b", EVACUATION_BOUND).await;
        write(&client, "op/evacuate/c", b"").await;
        wait_until(peers.routing(), "b,c", EVACUATION_BOUND).await;
        // An empty name is of no data centre.
        write(&client, "op/evacuate/", b"{}").await;
        wait_until(peers.routing(), ",b,c", EVACUATION_BOUND).await;
    };
    run(&client, &peers, scenario).await;
}

#[ntex::test]
async fn a_gateway_that_starts_takes_requests_before_it_knows_the_evacuations() {
    let (_server, client) = store().await;
    evacuate(&client, "b").await;
    let peers = peers("g1");
    let scenario = async {
        while !peers.routing().is_complete() {
            tokio::task::yield_now().await;
        }
        assert_eq!(evacuated(peers.routing()), "b");
    };
    run(&client, &peers, scenario).await;
}

#[ntex::test]
async fn an_evacuation_ends_while_the_store_is_away() {
    let (_server, client) = store().await;
    evacuate(&client, "b").await;
    evacuate(&client, "c").await;
    let (peers, link) = (peers("g1"), Link::new(&client));
    let scenario = async {
        let routing = peers.routing();
        wait_until(routing, "b,c", EVACUATION_BOUND).await;
        link.is_down.set(true);
        sleep(SETTLED).await;
        end_evacuation(&client, "b").await;
        evacuate(&client, "d").await;
        stays(routing, "b,c", 2 * GRACE).await;
        link.is_down.set(false);
        // What the store lacks is kept for the grace time.
        wait_until(routing, "b,c,d", EVACUATION_BOUND).await;
        stays(routing, "b,c,d", GRACE - Duration::from_millis(500)).await;
        wait_until(routing, "c,d", EVACUATION_BOUND).await;
    };
    run(&link, &peers, scenario).await;
}

#[ntex::test]
async fn an_evacuation_that_a_restore_lost_ends_before_it_is_written_again() {
    let (server, client) = store().await;
    let peers = peers("g1");
    let scenario = async {
        let routing = peers.routing();
        let before = write(&client, "x", b"").await;
        evacuate(&client, "b").await;
        evacuate(&client, "c").await;
        wait_until(routing, "b,c", EVACUATION_BOUND).await;
        key_value::restore(&server, before).expect("a restore");
        stays(routing, "b,c", GRACE - Duration::from_millis(700)).await;
        evacuate(&client, "b").await;
        stays(routing, "b,c", Duration::from_millis(200)).await;
        // What operators don't write again is over.
        wait_until(routing, "b", UNSTABLE_BOUND).await;
        stays(routing, "b", GRACE).await;
    };
    run(&client, &peers, scenario).await;
}

#[ntex::test]
async fn an_evacuation_that_was_cancelled_is_in_force_again_after_a_restore() {
    let (server, client) = store().await;
    let peers = peers("g1");
    let scenario = async {
        let routing = peers.routing();
        evacuate(&client, "b").await;
        let before = evacuate(&client, "c").await;
        wait_until(routing, "b,c", EVACUATION_BOUND).await;
        end_evacuation(&client, "b").await;
        end_evacuation(&client, "c").await;
        wait_until(routing, "", EVACUATION_BOUND).await;
        key_value::restore(&server, before).expect("a restore");
        stays(routing, "", GRACE - Duration::from_millis(700)).await;
        end_evacuation(&client, "b").await;
        // If operators leave the key, the store's word counts.
        wait_until(routing, "c", UNSTABLE_BOUND).await;
        stays(routing, "c", GRACE).await;
        assert!(client.read("op/evacuate/b").await.expect("a store").is_none());
    };
    run(&client, &peers, scenario).await;
}

#[ntex::test]
async fn an_evacuation_that_a_relay_hears_of_stays_there() {
    let (_server, client) = store().await;
    write(&client, "op/evacuate/b", b"odd").await;
    let (relay_address, leaf_address) = (free_address(), free_address());
    let small = |vm: &str, address| Member { capacity: 90, ..member(vm, address) };
    let mut members = vec![member("relay", relay_address), small("leaf", leaf_address)];
    members.extend((0..8).map(|index| small(&format!("g{index}"), free_address())));
    let peers = |index: usize| {
        let mut others = members.clone();
        let own = others.remove(index);
        let peers = Peers::new(Arc::default(), own, 1, Vec::new());
        peers.set_registered(others.iter().map(|member| member.address).collect(), others);
        Arc::new(peers)
    };
    let (relay, leaf) = (peers(0), peers(1));
    let (link, cancel) = (Link::new(&client), CancellationToken::new());
    let scenario = async {
        wait_until(leaf.routing(), "b", EVACUATION_BOUND).await;
        // The first calls of the relay may have come too early.
        sleep(Duration::from_secs(6)).await;
        let calls = link.calls.borrow().len();
        evacuate(&client, "c").await;
        wait_until(leaf.routing(), "b,c", EVACUATION_BOUND).await;
        end_evacuation(&client, "b").await;
        wait_until(leaf.routing(), "c", EVACUATION_BOUND).await;
        assert_eq!(link.calls.borrow().len(), calls, "calls of the store");
        cancel.cancel();
    };
    let source = Arc::clone(&relay) as Arc<dyn Source>;
    let (served, (), (), ()) = tokio::join!(
        rpc::view::serve(relay_address, source, cancel.clone()),
        gateway::follow(&Codec, &client, &relay, cancel.clone()).boxed_local(),
        gateway::follow(&Codec, &link, &leaf, cancel.clone()).boxed_local(),
        scenario.boxed_local(),
    );
    assert_eq!(served, Ok(()));
}

#[ntex::test]
async fn a_gateway_that_the_store_turns_away_does_not_hear_of_evacuations() {
    let (_server, client) = store().await;
    evacuate(&client, "b").await;
    let address = free_address();
    let source = Arc::new(Peers::new(Arc::default(), member("g1", address), 1, Vec::new()));
    let own = member("g2", free_address());
    let peers = Peers::new(Arc::default(), own, 1, vec![address]);
    let (link, cancel) = (Link::new(&client), CancellationToken::new());
    link.is_down.set(true);
    let scenario = async {
        wait_until(peers.routing(), "b", EVACUATION_BOUND).await;
        evacuate(&client, "c").await;
        wait_until(peers.routing(), "b,c", EVACUATION_BOUND).await;
        // It has no news but the peer's, which therefore end an evacuation after the grace time.
        end_evacuation(&client, "b").await;
        wait_until(peers.routing(), "c", UNSTABLE_BOUND).await;
        cancel.cancel();
    };
    let (served, (), (), ()) = tokio::join!(
        rpc::view::serve(address, Arc::clone(&source) as Arc<dyn Source>, cancel.clone()),
        gateway::follow(&Codec, &client, &source, cancel.clone()).boxed_local(),
        gateway::follow(&Codec, &link, &peers, cancel.clone()).boxed_local(),
        scenario.boxed_local(),
    );
    assert_eq!(served, Ok(()));
}
