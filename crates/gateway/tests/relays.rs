//! Tests of gateways that get the store's keys from a relay of their data centre.

#[path = "support/address.rs"]
mod address;
#[path = "support/entries.rs"]
mod entries;

use std::cell::Cell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use expect_test::expect;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gateway::Member;
use gateway::Mirror;
use gateway::Peers;
use gateway::Routing;
use platform::Codec;
use rpc::view::Cursor;
use rpc::view::Delta;
use services::Feed;
use services::feed::Listing;
use services::store::Change;
use services::store::Error;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::address::free_address;
use crate::entries::announced;
use crate::entries::entry;
use crate::entries::member;
use crate::entries::table;

/// Bound for a change to be in force at each gateway, of the strictest known deployment.
const CHANGE_BOUND: Duration = Duration::from_secs(3);

/// Gateways of the data centre, so many that they have a relay.
const GATEWAYS: usize = 10;

/// A store with a configuration of this version.
#[derive(Default)]
struct Store {
    /// Time that a scan takes.
    scan_time: Duration,
    /// `None` if it can't be read.
    version: Cell<Option<u64>>,
    /// Scans and watches so far.
    calls: Cell<u32>,
}

impl Store {
    fn at(version: u64) -> Store {
        Store { version: Cell::new(Some(version)), ..Store::default() }
    }

    fn listing(&self, prefix: &str) -> Result<Listing, Error> {
        self.calls.set(self.calls.get() + 1);
        let version = self.version.get().ok_or_else(|| Error::Down("reset".to_owned()))?;
        let mut entry = match prefix {
            "op/" => table(version),
            _ => announced(&format!("e{version}"), "ready"),
        };
        entry.version = version;
        Ok(Listing { entries: vec![entry], version })
    }
}

impl Feed for Store {
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, Error>> {
        let scan = async move {
            sleep(self.scan_time).await;
            self.listing(prefix)
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
            let start = Instant::now();
            loop {
                sleep(Duration::from_millis(10)).await;
                let Listing { entries, version } = self.listing(prefix)?;
                if version > after {
                    let removed = vec![format!("servers/e{after}")];
                    return Ok(Change { version, entries, removed });
                }
                if start.elapsed() >= wait {
                    return Ok(Change { version, ..Change::default() });
                }
            }
        };
        change.boxed_local()
    }
}

/// Returns the gateways of the data centre: `relay` on a large VM, `leaf`, and others at which
/// nobody listens.
fn members(relay: SocketAddr, leaf: SocketAddr) -> Vec<Member> {
    let small = |vm: &str, address| Member { capacity: 90, ..member(vm, address) };
    let mut members = vec![member("relay", relay), small("leaf", leaf)];
    let others = (members.len()..GATEWAYS).map(|index| small(&format!("g{index}"), free_address()));
    members.extend(others);
    members
}

/// Returns what a gateway knows that is one of these members.
fn peers(routing: &Arc<Routing>, vm: &str, members: &[Member]) -> Peers {
    let own = members.iter().find(|member| member.vm == vm).expect("a member");
    let peers = Peers::new(Arc::clone(routing), own.clone(), 1, Vec::new());
    let others: Vec<Member> = members.iter().filter(|member| member.vm != vm).cloned().collect();
    peers.set_registered(others.iter().map(|member| member.address).collect(), others);
    peers
}

/// Waits until a gateway has this configuration in force, and returns how long it took.
async fn wait_for(routing: &Routing, version: u64) -> Duration {
    let start = Instant::now();
    while routing.table().version() != version {
        let known = routing.table().version();
        assert!(start.elapsed() < Duration::from_secs(20), "the gateway still has {known}");
        sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

/// Runs a relay and a gateway that asks it, each with its view of the store, until the scenario
/// is over.
///
/// The scenario gets the gateway's routing and a token that stops the relay's server.
async fn run<F: Future<Output = ()>>(
    relay_store: &Store,
    leaf_store: &Store,
    scenario: impl FnOnce(Arc<Routing>, CancellationToken) -> F,
) {
    let address = free_address();
    run_among(members(address, free_address()), relay_store, leaf_store, scenario).await;
}

/// Runs the first two of these members as [`run`] does.
async fn run_among<F: Future<Output = ()>>(
    members: Vec<Member>,
    relay_store: &Store,
    leaf_store: &Store,
    scenario: impl FnOnce(Arc<Routing>, CancellationToken) -> F,
) {
    let address = members[0].address;
    let relay = Arc::new(peers(&Arc::default(), "relay", &members));
    let routing = Arc::<Routing>::default();
    let leaf = peers(&routing, "leaf", &members);
    let (stop, stop_relay) = (CancellationToken::new(), CancellationToken::new());
    let source = Arc::clone(&relay);
    let scenario = async {
        scenario(Arc::clone(&routing), stop_relay.clone()).await;
        stop_relay.cancel();
        stop.cancel();
    };
    let (served, (), (), ()) = tokio::join!(
        rpc::view::serve(address, source, stop_relay.clone()),
        gateway::follow(&Codec, relay_store, &relay, stop.clone()),
        gateway::follow(&Codec, leaf_store, &leaf, stop.clone()),
        scenario,
    );
    assert_eq!(served, Ok(()));
}

#[tokio::test]
async fn changes_come_from_the_relay_without_a_call_of_the_store() {
    let (relay, leaf) = (Store::at(3), Store::at(3));
    run(&relay, &leaf, async |routing, _| {
        wait_for(&routing, 3).await;
        // The first calls of the relay may have come too early.
        sleep(Duration::from_secs(6)).await;
        let calls = leaf.calls.get();
        relay.version.set(Some(7));
        let took = wait_for(&routing, 7).await;
        assert!(took < Duration::from_millis(500), "{took:?}");
        sleep(Duration::from_secs(2)).await;
        assert_eq!(leaf.calls.get(), calls, "calls of the store");
        let known: Vec<String> =
            routing.endpoints().iter().map(|endpoint| endpoint.id.to_string()).collect();
        assert_eq!(known, ["e7"]);
    })
    .await;
}

#[tokio::test]
async fn a_relay_whose_versions_do_not_order_restores_is_asked_for_changes() {
    let (relay, leaf) = (Store::at(3), Store::at(3));
    let mut members = members(free_address(), free_address());
    members[0].format = 0;
    run_among(members, &relay, &leaf, async |routing, _| {
        wait_for(&routing, 3).await;
        sleep(Duration::from_secs(1)).await;
        // The relay of the other build hears of nothing, which it doesn't know.
        leaf.version.set(Some(9));
        let took = wait_for(&routing, 9).await;
        assert!(took < CHANGE_BOUND, "{took:?}");
    })
    .await;
}

#[tokio::test]
async fn a_gateway_reads_the_store_itself_once_its_relay_has_lost_it() {
    let (relay, leaf) = (Store::at(3), Store::at(3));
    run(&relay, &leaf, async |routing, _| {
        wait_for(&routing, 3).await;
        sleep(Duration::from_secs(6)).await;
        relay.version.set(None);
        leaf.version.set(Some(9));
        let took = wait_for(&routing, 9).await;
        assert!(took < CHANGE_BOUND, "{took:?}");
    })
    .await;
}

#[tokio::test]
async fn a_gateway_reads_the_store_itself_once_its_relay_has_ended() {
    let (relay, leaf) = (Store::at(3), Store::at(3));
    run(&relay, &leaf, async |routing, stop_relay| {
        wait_for(&routing, 3).await;
        sleep(Duration::from_secs(6)).await;
        stop_relay.cancel();
        leaf.version.set(Some(9));
        let took = wait_for(&routing, 9).await;
        assert!(took < CHANGE_BOUND, "{took:?}");
    })
    .await;
}

#[tokio::test]
async fn during_an_outage_the_relay_asks_for_the_store_and_the_others_seldom_do() {
    let (relay, leaf) = (Store::at(3), Store::at(3));
    run(&relay, &leaf, async |routing, _| {
        wait_for(&routing, 3).await;
        sleep(Duration::from_secs(6)).await;
        let before = leaf.calls.get();
        relay.version.set(None);
        leaf.version.set(None);
        sleep(Duration::from_secs(8)).await;
        let calls = leaf.calls.get() - before;
        // Two prefixes, each with a backoff that grows from 50 ms to 3 s.
        assert!(calls <= 20, "{calls} calls");
        relay.version.set(Some(9));
        let took = wait_for(&routing, 9).await;
        assert!(took < Duration::from_secs(2), "{took:?}");
    })
    .await;
}

#[tokio::test]
async fn a_first_read_that_takes_long_makes_no_gateway_ask_its_peers_for_all_keys() {
    // Nobody answers at the address, but each call would connect to it.
    let seed = TcpListener::bind("127.0.0.1:0").expect("a listener");
    seed.set_nonblocking(true).expect("a setting");
    let address = seed.local_addr().expect("an address");
    let routing = Arc::<Routing>::default();
    let own = member("g1", free_address());
    let peers = Peers::new(Arc::clone(&routing), own, 1, vec![address]);
    let store = Store { scan_time: Duration::from_millis(900), ..Store::at(3) };
    let stop = CancellationToken::new();
    let scenario = async {
        wait_for(&routing, 3).await;
        assert!(seed.accept().is_err(), "a peer was called");
        // An outage makes it ask.
        store.version.set(None);
        let start = Instant::now();
        while seed.accept().is_err() {
            assert!(start.elapsed() < Duration::from_secs(10), "no peer was called");
            sleep(Duration::from_millis(20)).await;
        }
        stop.cancel();
    };
    tokio::join!(gateway::follow(&Codec, &store, &peers, stop.clone()), scenario);
}

#[tokio::test]
async fn a_relay_that_accepts_connections_and_is_silent_holds_nothing_back() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let members = members(silent.local_addr().expect("an address"), free_address());
    let routing = Arc::<Routing>::default();
    let leaf = peers(&routing, "leaf", &members);
    let store = Store::at(3);
    let stop = CancellationToken::new();
    let scenario = async {
        wait_for(&routing, 3).await;
        for version in [5, 7, 9] {
            store.version.set(Some(version));
            let took = wait_for(&routing, version).await;
            assert!(took < CHANGE_BOUND, "{took:?}");
            sleep(Duration::from_secs(2)).await;
        }
        stop.cancel();
    };
    tokio::join!(gateway::follow(&Codec, &store, &leaf, stop.clone()), scenario);
}

const NOW: Duration = Duration::from_secs(100);

/// Returns a mirror that read `a/1` to `a/3` at version 5 and was told later changes.
fn mirror() -> Mirror {
    let mut mirror = Mirror::default();
    let entries = ["a/1", "a/2", "a/3"].map(|key| entry(key, "")).to_vec();
    mirror.replace("a/", Listing { entries, version: 5 }, NOW);
    let mut written = entry("a/4", "");
    written.version = 7;
    let removed = vec!["a/1".to_owned()];
    mirror.apply("a/", &Change { version: 7, entries: vec![written], removed }, NOW);
    let removed = vec!["a/4".to_owned(), "a/2".to_owned()];
    mirror.apply("a/", &Change { version: 9, entries: Vec::new(), removed }, NOW);
    let mut again = entry("a/1", "");
    again.version = 11;
    let change = Change { version: 11, entries: vec![again], removed: Vec::new() };
    mirror.apply("a/", &change, NOW + Duration::from_secs(1));
    mirror
}

/// Formats what changed after a version as one line.
fn show(mirror: &Mirror, version: u64) -> String {
    let after = Cursor { prefix: "a/".to_owned(), version };
    match mirror.delta(&after, NOW + Duration::from_secs(3)) {
        Delta::Changes { change, age } => {
            let written: Vec<&str> =
                change.entries.iter().map(|entry| entry.key.as_str()).collect();
            format!(
                "{version}: {written:?} written, {:?} removed, at {}, {age:?} old\n",
                change.removed, change.version
            )
        }
        other => format!("{version}: {other:?}\n"),
    }
}

#[test]
fn a_delta_has_all_changes_after_a_version() {
    let mirror = mirror();
    let shown: String =
        [4, 5, 7, 9, 11, 12].iter().map(|version| show(&mirror, *version)).collect();
    expect![[r#"
        4: Unknown
        5: ["a/1"] written, ["a/4", "a/2"] removed, at 11, 2s old
        7: ["a/1"] written, ["a/4", "a/2"] removed, at 11, 2s old
        9: ["a/1"] written, [] removed, at 11, 2s old
        11: [] written, [] removed, at 11, 2s old
        12: [] written, [] removed, at 12, 2s old
    "#]]
    .assert_eq(&shown);
}

#[test]
fn a_mirror_that_lost_the_store_tells_no_changes() {
    let mut mirror = mirror();
    mirror.set_lost("a/");
    let after = Cursor { prefix: "a/".to_owned(), version: 9 };
    assert_eq!(mirror.delta(&after, NOW), Delta::Lost);
    assert_eq!(Mirror::default().delta(&after, NOW), Delta::Unknown);
}

#[test]
fn a_peer_that_lags_behind_the_known_removals_reads_all_keys_again() {
    let mut mirror = mirror();
    for version in 12..2_000 {
        let removed = vec![format!("a/{version}")];
        mirror.apply("a/", &Change { version, entries: Vec::new(), removed }, NOW);
    }
    let delta = |version| mirror.delta(&Cursor { prefix: "a/".to_owned(), version }, NOW);
    assert_eq!(delta(9), Delta::Unknown);
    let Delta::Changes { change, .. } = delta(1_990) else { panic!("{:?}", delta(1_990)) };
    assert_eq!(change.removed.len(), 9);
}
