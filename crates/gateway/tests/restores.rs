//! Tests of gateways whose store comes back from a copy: its revisions go back and are given out
//! again for other changes.

#[path = "support/address.rs"]
mod address;
#[path = "support/entries.rs"]
mod entries;

use std::cell::Cell;
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
use policy::quarantine::Digest;
use policy::quarantine::Suspect;
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

/// Bound for a change to be in force, of the strictest known deployment.
const CHANGE_BOUND: Duration = Duration::from_secs(2);

/// Time in which the watches of a test are surely waiting again.
const SETTLED: Duration = Duration::from_millis(700);

fn store() -> (Server, Client) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = key_value::start(listen, Options::default()).expect("a store");
    let client = Client::new(server.addr());
    (server, client)
}

async fn write(client: &Client, key: &str, value: Vec<u8>) {
    let put = Put { key: key.to_owned(), value, lease: None };
    let written = client.commit(&Commit { puts: vec![put], ..Commit::default() }).await;
    assert!(matches!(written, Ok(Outcome::Written(_))), "{written:?}");
}

async fn write_table(client: &Client, version: u64) {
    write(client, "op/config", table(version).value).await;
}

async fn announce(client: &Client, id: &str, state: &str, sequence: u64) {
    let value = format!(
        r#"{{"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "{state}", "born": 1,
            "seq": {sequence}}}"#
    );
    write(client, &format!("servers/{id}"), value.into_bytes()).await;
}

async fn withdraw(client: &Client, id: &str) {
    let commit = Commit { removes: vec![format!("servers/{id}")], ..Commit::default() };
    assert!(matches!(client.commit(&commit).await, Ok(Outcome::Written(_))));
}

/// Returns the version of a gateway's configuration, and its endpoints with their states.
fn summary(routing: &Routing) -> String {
    let shown = |endpoint: &Arc<route::Endpoint>| format!(" {} {:?}", endpoint.id, endpoint.state);
    let endpoints: String = routing.endpoints().iter().map(shown).collect();
    format!("{}{endpoints}", routing.table().version())
}

async fn wait_until(routing: &Routing, wanted: &str) {
    let start = Instant::now();
    while summary(routing) != wanted {
        let shown = summary(routing);
        assert!(start.elapsed() < CHANGE_BOUND, "it shows {shown} instead of {wanted}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// A store that a gateway asks only while it looks, in short calls, so that it notices no break.
struct Glances<'a> {
    client: &'a Client,
    /// Whether no changes are asked for.
    is_away: Cell<bool>,
    /// Whether nothing is listed.
    is_slow: Cell<bool>,
}

impl Glances<'_> {
    fn new(client: &Client) -> Glances<'_> {
        Glances { client, is_away: Cell::new(false), is_slow: Cell::new(false) }
    }
}

impl Feed for Glances<'_> {
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, Error>> {
        let scan = async move {
            while self.is_slow.get() {
                sleep(Duration::from_millis(5)).await;
            }
            self.client.scan(prefix).await
        };
        scan.boxed_local()
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        _: Duration,
    ) -> LocalBoxFuture<'a, Result<Change, Error>> {
        let change = async move {
            while self.is_away.get() {
                sleep(Duration::from_millis(5)).await;
            }
            self.client.changes(prefix, after, Duration::from_millis(50)).await
        };
        change.boxed_local()
    }
}

fn peers(vm: &str) -> Peers {
    Peers::new(Arc::default(), member(vm, free_address()), 1, Vec::new())
}

#[ntex::test]
async fn a_gateway_that_looked_away_misses_what_was_written_after_a_restore() {
    let (server, client) = store();
    write_table(&client, 3).await;
    announce(&client, "a", "ready", 1).await;
    let (peers, cancel) = (peers("g1"), CancellationToken::new());
    let glances = Glances::new(&client);
    let scenario = async {
        wait_until(peers.routing(), "3 a Ready").await;
        sleep(SETTLED).await;
        glances.is_away.set(true);
        sleep(SETTLED).await;
        key_value::restore(&server, 1).expect("a restore");
        // The revisions that the gateway knows are given out again.
        write_table(&client, 4).await;
        announce(&client, "b", "ready", 1).await;
        announce(&client, "a", "ready", 2).await;
        glances.is_away.set(false);
        wait_until(peers.routing(), "4 a Ready b Ready").await;
        cancel.cancel();
    };
    tokio::join!(
        gateway::follow(&Codec, &glances, &peers, cancel.clone()).boxed_local(),
        scenario.boxed_local()
    );
}

#[ntex::test]
async fn a_gateway_that_follows_a_relay_misses_what_was_written_after_a_restore() {
    let (server, client) = store();
    write_table(&client, 3).await;
    announce(&client, "a", "ready", 1).await;
    announce(&client, "c", "ready", 1).await;
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
    let (glances, cancel) = (Glances::new(&client), CancellationToken::new());
    let scenario = async {
        wait_until(relay.routing(), "3 a Ready c Ready").await;
        wait_until(leaf.routing(), "3 a Ready c Ready").await;
        sleep(SETTLED).await;
        glances.is_away.set(true);
        sleep(SETTLED).await;
        key_value::restore(&server, 1).expect("a restore");
        glances.is_away.set(false);
        sleep(SETTLED).await;
        write_table(&client, 4).await;
        announce(&client, "b", "ready", 1).await;
        announce(&client, "a", "ready", 2).await;
        sleep(SETTLED).await;
        withdraw(&client, "b").await;
        for routing in [relay.routing(), leaf.routing()] {
            let start = Instant::now();
            while routing.table().version() != 4 || summary(routing).contains(" b ") {
                assert!(start.elapsed() < CHANGE_BOUND, "it shows {}", summary(routing));
                sleep(Duration::from_millis(10)).await;
            }
        }
        cancel.cancel();
    };
    let (served, (), (), ()) = tokio::join!(
        rpc::view::serve(relay_address, Arc::clone(&relay) as Arc<dyn Source>, cancel.clone()),
        gateway::follow(&Codec, &glances, &relay, cancel.clone()).boxed_local(),
        gateway::follow(&Codec, &client, &leaf, cancel.clone()).boxed_local(),
        scenario.boxed_local(),
    );
    assert_eq!(served, Ok(()));
}

#[ntex::test]
async fn an_endpoint_that_was_leaving_or_gone_is_used_again_after_a_restore() {
    let (server, client) = store();
    write_table(&client, 3).await;
    announce(&client, "a", "ready", 1).await;
    announce(&client, "b", "ready", 1).await;
    let (peers, cancel) = (peers("g1"), CancellationToken::new());
    let scenario = async {
        wait_until(peers.routing(), "3 a Ready b Ready").await;
        announce(&client, "a", "draining", 2).await;
        withdraw(&client, "b").await;
        wait_until(peers.routing(), "3 a Leaving").await;
        key_value::restore(&server, 4).expect("a restore");
        let start = Instant::now();
        while start.elapsed() < CHANGE_BOUND {
            assert_eq!(summary(peers.routing()), "3 a Leaving");
            sleep(Duration::from_millis(5)).await;
        }
        // Who announces itself again after the restore is there.
        announce(&client, "b", "ready", 1).await;
        announce(&client, "a", "draining", 3).await;
        wait_until(peers.routing(), "3 a Leaving b Ready").await;
        cancel.cancel();
    };
    tokio::join!(
        gateway::follow(&Codec, &client, &peers, cancel.clone()).boxed_local(),
        scenario.boxed_local()
    );
}

#[ntex::test]
async fn an_endpoint_whose_announcement_a_restore_lost_is_dropped_before_it_announces_itself_again()
{
    let (server, client) = store();
    write_table(&client, 3).await;
    announce(&client, "a", "ready", 1).await;
    announce(&client, "b", "ready", 1).await;
    let (peers, cancel) = (peers("g1"), CancellationToken::new());
    let glances = Glances::new(&client);
    let scenario = async {
        wait_until(peers.routing(), "3 a Ready b Ready").await;
        sleep(SETTLED).await;
        glances.is_away.set(true);
        sleep(SETTLED).await;
        key_value::restore(&server, 3).expect("a restore");
        glances.is_slow.set(true);
        glances.is_away.set(false);
        sleep(SETTLED).await;
        // The revisions have passed those of before when all keys are read.
        write(&client, "x", Vec::new()).await;
        write(&client, "x", Vec::new()).await;
        glances.is_slow.set(false);
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(1_500) {
            assert_eq!(summary(peers.routing()), "3 a Ready b Ready");
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(summary(peers.routing()), "3 a Ready");
        cancel.cancel();
    };
    tokio::join!(
        gateway::follow(&Codec, &glances, &peers, cancel.clone()).boxed_local(),
        scenario.boxed_local()
    );
}

#[ntex::test]
async fn registrations_and_quarantines_that_a_restore_lost_are_not_written_again() {
    let (server, client) = store();
    write_table(&client, 3).await;
    announce(&client, "a", "ready", 1).await;
    let (peers, cancel) = (peers("g1"), CancellationToken::new());
    let suspect = Suspect::new([3, 9]).expect("parts");
    let crash = |start| (start, Duration::from_millis(300 * start), vec![suspect.clone()]);
    peers.learn_crashes(&Digest { crashes: (0..4).map(crash).collect(), successes: Vec::new() });
    let keys = ["lycheeknot/gateways/g1", "lycheeknot/members/g1", "lycheeknot/quarantine/3-9"];
    let is_written = async || {
        let listed = client.list("lycheeknot/").await.expect("keys");
        listed.iter().map(|entry| entry.key.as_str()).eq(keys)
    };
    let scenario = async {
        let start = Instant::now();
        while !is_written().await {
            assert!(start.elapsed() < Duration::from_secs(5), "nothing is written");
            sleep(Duration::from_millis(50)).await;
        }
        key_value::restore(&server, 3).expect("a restore");
        assert!(!is_written().await);
        // The ids of the lost leases are given to somebody else.
        for _ in 0..3 {
            client.grant(600).await.expect("a lease");
        }
        let start = Instant::now();
        while !is_written().await {
            assert!(start.elapsed() < Duration::from_secs(3), "they are not written again");
            sleep(Duration::from_millis(50)).await;
        }
        cancel.cancel();
    };
    tokio::join!(
        gateway::follow(&Codec, &client, &peers, cancel.clone()).boxed_local(),
        gateway::register(&client, &peers, cancel.clone()).boxed_local(),
        scenario.boxed_local(),
    );
}
