//! Gateways that the store turns away learn from those that it serves.

#[path = "support/entries.rs"]
mod entries;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use expect_test::expect;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gateway::Knowledge;
use gateway::Mirror;
use gateway::Peers;
use platform::Codec;
use rpc::view::Known;
use rpc::view::Snapshot;
use services::Feed;
use services::feed::Listing;
use services::store::Change;
use services::store::Error;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::entries::announced;
use crate::entries::entry;
use crate::entries::table;

/// A store that has a configuration and endpoints, or turns the caller away.
struct Store {
    version: RefCell<Option<u64>>,
}

impl Store {
    fn at(version: Option<u64>) -> Store {
        Store { version: RefCell::new(version) }
    }

    fn listing(&self, prefix: &str) -> Result<Listing, Error> {
        let version = self.version.borrow().ok_or_else(|| Error::Down("reset".to_owned()))?;
        let entry = match prefix {
            "op/config" => table(version),
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

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// What a gateway knows: the configuration's version and the endpoints.
fn shown(knowledge: &Knowledge) -> String {
    let ids: Vec<String> =
        knowledge.endpoints().iter().map(|endpoint| endpoint.id.to_string()).collect();
    format!("{} {}", knowledge.table().version(), ids.join(","))
}

async fn until(knowledge: &Knowledge, wanted: &str) {
    let start = Instant::now();
    while shown(knowledge) != wanted {
        assert!(start.elapsed() < Duration::from_secs(20), "{} is known", shown(knowledge));
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn a_gateway_that_the_store_turns_away_follows_its_peers() {
    let address = free_address();
    let (served, turned_away) = (Store::at(Some(3)), Store::at(None));
    let told = Arc::new(Peers::new(Arc::default(), Vec::new()));
    let knowledge = Arc::<Knowledge>::default();
    // One seed is gone, as on the platform some are.
    let asks = Peers::new(Arc::clone(&knowledge), vec![free_address(), address]);
    let cancel = CancellationToken::new();
    let story = async {
        until(&knowledge, "3 e3").await;
        *served.version.borrow_mut() = Some(7);
        // What is gone at the peer is kept for a while, since it may have lapsed.
        until(&knowledge, "7 e3,e7").await;
        until(&knowledge, "7 e7").await;
        // The store's own word goes on from there.
        *turned_away.version.borrow_mut() = Some(9);
        until(&knowledge, "9 e7,e9").await;
        // A store that was put back says less than a peer did; the configuration stays.
        *turned_away.version.borrow_mut() = None;
        *served.version.borrow_mut() = Some(12);
        until(&knowledge, "12 e12,e9").await;
        *turned_away.version.borrow_mut() = Some(11);
        until(&knowledge, "12 e11,e12").await;
        cancel.cancel();
    };
    let source = Arc::clone(&told);
    let (served, (), (), ()) = tokio::join!(
        rpc::view::serve(address, source, cancel.clone()),
        gateway::follow(&Codec, &served, &told, cancel.clone()),
        gateway::follow(&Codec, &turned_away, &asks, cancel.clone()),
        story,
    );
    assert_eq!(served, Ok(()));
}

/// Nobody hears from the store, but some know what it told before.
#[tokio::test]
async fn a_gateway_that_starts_while_the_store_is_away_learns_what_the_others_know() {
    let address = free_address();
    let (served, away) = (Store::at(Some(3)), Store::at(None));
    let told = Arc::new(Peers::new(Arc::default(), Vec::new()));
    let knowledge = Arc::<Knowledge>::default();
    let starts = Peers::new(Arc::clone(&knowledge), vec![address]);
    let cancel = CancellationToken::new();
    let story = async {
        sleep(Duration::from_millis(200)).await;
        *served.version.borrow_mut() = None;
        sleep(Duration::from_secs(6)).await;
        let follow = gateway::follow(&Codec, &away, &starts, cancel.clone());
        let end = async {
            let start = Instant::now();
            until(&knowledge, "3 e3").await;
            assert!(start.elapsed() < Duration::from_secs(1), "it takes {:?}", start.elapsed());
            cancel.cancel();
        };
        tokio::join!(follow, end);
    };
    let source = Arc::clone(&told);
    let (served, (), ()) = tokio::join!(
        rpc::view::serve(address, source, cancel.clone()),
        gateway::follow(&Codec, &served, &told, cancel.clone()),
        story,
    );
    assert_eq!(served, Ok(()));
}

const NOW: Duration = Duration::from_secs(100);

fn listing(keys: &[&str], version: u64) -> Listing {
    Listing { entries: keys.iter().map(|key| entry(key, "")).collect(), version }
}

fn mirror() -> Mirror {
    let mut mirror = Mirror::default();
    mirror.read("a/", listing(&["a/1", "a/2"], 5), NOW);
    mirror.read("b/", listing(&[], 5), NOW);
    mirror
}

#[test]
fn only_what_is_newer_and_heard_of_lately_is_told() {
    let mut mirror = mirror();
    let entry = listing(&["a/3"], 0).entries.remove(0);
    let change = Change { version: 8, entries: vec![entry], removed: vec!["a/1".to_owned()] };
    mirror.changed("a/", &change, NOW + Duration::from_secs(4));
    let known = |version| Known { prefix: "a/".to_owned(), version };
    let now = NOW + Duration::from_secs(5);
    let told = mirror.newer(&[known(7)], now);
    expect![[r#"
        "a/" ["a/2", "a/3"] 8
    "#]]
    .assert_eq(&told.iter().map(show).collect::<String>());
    assert_eq!(mirror.newer(&[known(8)], now), []);
    assert!(mirror.is_current(now));
    let late = NOW + Duration::from_secs(6);
    assert!(!mirror.is_current(late), "b/ was not heard of for 6 s");
    assert_eq!(mirror.newer(&[known(7)], late), []);
    assert_eq!(mirror.newer(&[known(0)], late).len(), 1, "the caller knows nothing");
}

#[test]
fn only_what_is_missed_is_learnt() {
    let mut mirror = mirror();
    let snapshot =
        |version| Snapshot { prefix: "a/".to_owned(), listing: listing(&["a/9"], version) };
    assert!(!mirror.adopt(&snapshot(9)), "the store still tells");
    mirror.lost("a/");
    assert_eq!(mirror.missed(), [Known { prefix: "a/".to_owned(), version: 5 }]);
    assert!(!mirror.adopt(&snapshot(5)), "it is known");
    assert!(mirror.adopt(&snapshot(9)));
    assert_eq!(mirror.version("a/"), 9);
}

fn show(snapshot: &Snapshot) -> String {
    let keys: Vec<&str> = snapshot.listing.entries.iter().map(|entry| entry.key.as_str()).collect();
    format!("{:?} {keys:?} {}\n", snapshot.prefix, snapshot.listing.version)
}
