//! Tests of peer snapshots: gateways that can't read the store get its keys from peers.

#[path = "support/address.rs"]
mod address;
#[path = "support/entries.rs"]
mod entries;

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use expect_test::expect;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gateway::Mirror;
use gateway::Peers;
use gateway::Routing;
use platform::Codec;
use policy::exchange::Report;
use policy::rate_limit;
use rpc::view::Cursor;
use rpc::view::Snapshot;
use rpc::view::Source;
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

/// A store with a configuration and one endpoint, `e` with the version.
struct Store {
    /// The version of its keys; `None` if it can't be read.
    version: RefCell<Option<u64>>,
}

impl Store {
    fn at(version: Option<u64>) -> Store {
        Store { version: RefCell::new(version) }
    }

    fn listing(&self, prefix: &str) -> Result<Listing, Error> {
        let version = self.version.borrow().ok_or_else(|| Error::Down("reset".to_owned()))?;
        let entry = match prefix {
            "op/" => table(version),
            _ => announced(&format!("e{version}"), "ready"),
        };
        Ok(Listing { entries: vec![entry], version })
    }
}

impl Feed for Store {
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, Error>> {
        async move { self.listing(prefix) }.boxed_local()
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        _: Duration,
    ) -> LocalBoxFuture<'a, Result<Change, Error>> {
        let change = async move {
            sleep(Duration::from_millis(20)).await;
            let Listing { entries, version } = self.listing(prefix)?;
            let removed = vec![format!("servers/e{after}")];
            match version > after {
                true => Ok(Change { version, entries, removed }),
                false => Ok(Change { version, ..Change::default() }),
            }
        };
        change.boxed_local()
    }
}

/// Returns the version of a gateway's configuration and the ids of its endpoints.
fn summary(routing: &Routing) -> String {
    let ids: Vec<String> =
        routing.endpoints().iter().map(|endpoint| endpoint.id.to_string()).collect();
    format!("{} {}", routing.table().version(), ids.join(","))
}

/// Waits until a gateway shows the wanted version and endpoints; fails after 20 s.
async fn wait_until(routing: &Routing, wanted: &str) {
    let start = Instant::now();
    while summary(routing) != wanted {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "the gateway still shows {}",
            summary(routing)
        );
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn a_gateway_that_the_store_turns_away_follows_its_peers() {
    let address = free_address();
    let (available, unavailable) = (Store::at(Some(3)), Store::at(None));
    let source_peers = Arc::new(Peers::new(Arc::default(), member("g1", address), 1, Vec::new()));
    let routing = Arc::<Routing>::default();
    // Nothing listens at one of the seeds, as on the platform, where some are out of date.
    let own = member("g2", free_address());
    let peers = Peers::new(Arc::clone(&routing), own, 1, vec![free_address(), address]);
    let cancel = CancellationToken::new();
    let scenario = async {
        wait_until(&routing, "3 e3").await;
        *available.version.borrow_mut() = Some(7);
        // An endpoint that the peer lacks is kept for a while, since its announcement may
        // have lapsed during an outage of the store.
        wait_until(&routing, "7 e3,e7").await;
        wait_until(&routing, "7 e7").await;
        // Once the store can be read again, its newer keys are applied.
        *unavailable.version.borrow_mut() = Some(9);
        wait_until(&routing, "9 e7,e9").await;
        // A store that was restored has older keys than the peer had. Its endpoints are
        // applied, but the newer configuration stays in force.
        *unavailable.version.borrow_mut() = None;
        *available.version.borrow_mut() = Some(12);
        wait_until(&routing, "12 e12,e9").await;
        *unavailable.version.borrow_mut() = Some(11);
        wait_until(&routing, "12 e11,e12").await;
        cancel.cancel();
    };
    let source = Arc::clone(&source_peers);
    let (served, (), (), ()) = tokio::join!(
        rpc::view::serve(address, source, cancel.clone()),
        gateway::follow(&Codec, &available, &source_peers, cancel.clone()),
        gateway::follow(&Codec, &unavailable, &peers, cancel.clone()),
        scenario,
    );
    assert_eq!(served, Ok(()));
}

/// No gateway can read the store, but some still have the keys that they read before.
#[tokio::test]
async fn a_gateway_that_starts_during_an_outage_adopts_the_snapshots_of_its_peers() {
    let address = free_address();
    let (available, unavailable) = (Store::at(Some(3)), Store::at(None));
    let source_peers = Arc::new(Peers::new(Arc::default(), member("g1", address), 1, Vec::new()));
    let routing = Arc::<Routing>::default();
    let own = member("g2", free_address());
    let peers = Peers::new(Arc::clone(&routing), own, 1, vec![address]);
    let cancel = CancellationToken::new();
    let scenario = async {
        sleep(Duration::from_millis(200)).await;
        *available.version.borrow_mut() = None;
        sleep(Duration::from_secs(6)).await;
        let follow = gateway::follow(&Codec, &unavailable, &peers, cancel.clone());
        let end = async {
            let start = Instant::now();
            wait_until(&routing, "3 e3").await;
            assert!(start.elapsed() < Duration::from_secs(1), "it takes {:?}", start.elapsed());
            cancel.cancel();
        };
        tokio::join!(follow, end);
    };
    let source = Arc::clone(&source_peers);
    let (served, (), ()) = tokio::join!(
        rpc::view::serve(address, source, cancel.clone()),
        gateway::follow(&Codec, &available, &source_peers, cancel.clone()),
        scenario,
    );
    assert_eq!(served, Ok(()));
}

const NOW: Duration = Duration::from_secs(100);

/// Returns a listing of keys without values.
fn listing(keys: &[&str], version: u64) -> Listing {
    Listing { entries: keys.iter().map(|key| entry(key, "")).collect(), version }
}

/// Returns a mirror that read two prefixes from the store at [`NOW`].
fn mirror() -> Mirror {
    let mut mirror = Mirror::default();
    mirror.replace("a/", listing(&["a/1", "a/2"], 5), NOW);
    mirror.replace("b/", listing(&[], 5), NOW);
    mirror
}

#[test]
fn peers_get_only_snapshots_that_are_newer_than_theirs_and_current() {
    let mut mirror = mirror();
    let entry = listing(&["a/3"], 0).entries.remove(0);
    let change = Change { version: 8, entries: vec![entry], removed: vec!["a/1".to_owned()] };
    mirror.apply("a/", &change, NOW + Duration::from_secs(4));
    let known = |version| Cursor { prefix: "a/".to_owned(), version };
    let now = NOW + Duration::from_secs(5);
    let snapshots = mirror.newer_than(&[known(7)], now);
    expect![[r#"
        "a/" ["a/2", "a/3"] 8
    "#]]
    .assert_eq(&snapshots.iter().map(show).collect::<String>());
    assert_eq!(mirror.newer_than(&[known(8)], now), []);
    assert!(mirror.is_current(now));
    let late = NOW + Duration::from_secs(6);
    assert!(!mirror.is_current(late), "the store has not answered for b/ for 6 s");
    assert_eq!(mirror.newer_than(&[known(7)], late), []);
    assert_eq!(mirror.newer_than(&[known(0)], late).len(), 1, "the peer knows nothing");
}

#[test]
fn only_newer_snapshots_of_stale_prefixes_are_adopted() {
    let mut mirror = mirror();
    let snapshot =
        |version| Snapshot { prefix: "a/".to_owned(), listing: listing(&["a/9"], version) };
    assert!(!mirror.adopt(&snapshot(9)), "the prefix is not stale");
    assert_eq!(mirror.lost(), []);
    mirror.set_lost("a/");
    assert_eq!(mirror.lost(), [Cursor { prefix: "a/".to_owned(), version: 5 }]);
    assert!(!mirror.adopt(&snapshot(5)), "the snapshot is not newer");
    assert!(mirror.adopt(&snapshot(9)));
    assert_eq!(mirror.version("a/"), 9);
}

/// Formats a snapshot as one line.
fn show(snapshot: &Snapshot) -> String {
    let keys: Vec<&str> = snapshot.listing.entries.iter().map(|entry| entry.key.as_str()).collect();
    format!("{:?} {keys:?} {}\n", snapshot.prefix, snapshot.listing.version)
}

#[test]
fn a_report_with_an_impossible_number_of_gateways_stops_no_exchange() {
    let peers = Peers::new(Arc::default(), member("g1", free_address()), 1, Vec::new());
    let report = |vm: &str| Report { vm: vm.to_owned(), gateways: u32::MAX, ..Report::default() };
    assert!(peers.swap(report("hub"), rate_limit::Report::default()).is_some());
    assert!(peers.report(report("member"), rate_limit::Report::default()).is_some());
    let loads = peers
        .report(report("another"), rate_limit::Report::default())
        .map(|(loads, _)| loads.gateways);
    assert_eq!(loads, Some(u32::MAX));
}
