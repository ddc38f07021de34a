//! Tests of quarantines in the store.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gateway::Member;
use gateway::Peers;
use gateway::Routing;
use parking_lot::Mutex;
use policy::quarantine::Digest;
use policy::quarantine::Suspect;
use rpc::view::Source;
use services::Store;
use services::store::Commit;
use services::store::Entry;
use services::store::Error;
use services::store::Lease;
use services::store::Outcome;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time in which a gateway writes its quarantines and reads those of others, twice over.
const STORED: Duration = Duration::from_millis(2_500);

/// A store that keeps its keys until they are removed.
#[derive(Default)]
struct Fake {
    entries: Mutex<Vec<Entry>>,
}

impl Fake {
    fn keys(&self) -> Vec<String> {
        let entries = self.entries.lock();
        let quarantines = entries.iter().filter(|it| it.key.starts_with("lycheeknot/quarantine/"));
        quarantines.map(|entry| entry.key.clone()).collect()
    }
}

impl Store for Fake {
    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Entry>, Error>> {
        let entry = self.entries.lock().iter().find(|entry| entry.key == key).cloned();
        async move { Ok(entry) }.boxed_local()
    }

    fn list<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Result<Vec<Entry>, Error>> {
        let entries = self.entries.lock().clone();
        async move { Ok(entries) }.boxed_local()
    }

    fn commit<'a>(&'a self, write: &'a Commit) -> LocalBoxFuture<'a, Result<Outcome, Error>> {
        let mut entries = self.entries.lock();
        let exists = |key: &str| entries.iter().any(|entry| entry.key == key);
        if write.conditions.iter().any(|condition| exists(&condition.key)) {
            return async { Ok(Outcome::Conflict) }.boxed_local();
        }
        entries.retain(|entry| !write.removes.contains(&entry.key));
        let puts = write.puts.iter().cloned();
        entries.extend(puts.map(|put| Entry { key: put.key, value: put.value, version: 1 }));
        async { Ok(Outcome::Written(1)) }.boxed_local()
    }

    fn watch<'a>(&'a self, _: &'a str, _: u64) -> LocalBoxFuture<'a, Result<Option<Entry>, Error>> {
        std::future::pending().boxed_local()
    }

    fn grant(&self, _: u64) -> LocalBoxFuture<'_, Result<Lease, Error>> {
        async { Ok(1) }.boxed_local()
    }

    fn renew(&self, _: Lease) -> LocalBoxFuture<'_, Result<bool, Error>> {
        async { Ok(true) }.boxed_local()
    }
}

fn peers() -> Peers {
    let address = "127.0.0.1:9".parse().expect("an address");
    let own = Member {
        vm: "g1".to_owned(),
        centre: "a".to_owned(),
        address,
        capacity: 10,
        format: Member::FORMAT,
    };
    Peers::new(Arc::new(Routing::default()), own, 1, Vec::new())
}

fn suspect() -> Suspect {
    Suspect::new([3, 9]).expect("parts")
}

/// Returns crashes by the same parts of a prompt, one after the other.
fn crashes() -> Digest {
    let crash = |start| (start, Duration::from_millis(300 * start), vec![suspect()]);
    Digest { crashes: (0..4).map(crash).collect(), successes: Vec::new() }
}

/// Runs the registration of a gateway for a while.
async fn run(store: &Fake, peers: &Peers) {
    let cancel = CancellationToken::new();
    let stop = async {
        sleep(STORED).await;
        cancel.cancel();
    };
    tokio::join!(gateway::register(store, peers, cancel.clone()), stop);
}

#[tokio::test]
async fn a_quarantine_outlives_the_processes_of_all_gateways() {
    let store = Fake::default();
    let old = peers();
    old.learn_crashes(&crashes());
    run(&store, &old).await;
    assert_eq!(store.keys(), ["lycheeknot/quarantine/3-9"]);
    let new = peers();
    run(&store, &new).await;
    let known = new.crashes(true).crashes;
    assert_eq!(known.len(), 4, "{known:?}");
    assert!(known.iter().all(|(_, _, suspects)| *suspects == [suspect()]), "{known:?}");
}

#[tokio::test]
async fn a_quarantine_that_ends_is_removed() {
    let store = Fake::default();
    let peers = peers();
    peers.learn_crashes(&crashes());
    let succeed = async {
        sleep(STORED / 2).await;
        assert_eq!(store.keys(), ["lycheeknot/quarantine/3-9"]);
        let successes = vec![(3, Duration::ZERO), (9, Duration::ZERO)];
        peers.learn_crashes(&Digest { successes, ..Digest::default() });
    };
    tokio::join!(run(&store, &peers), succeed);
    assert_eq!(store.keys(), Vec::<String>::new());
}

#[tokio::test]
async fn a_malformed_quarantine_is_left_out() {
    let store = Fake::default();
    for (number, value) in ["", "{", r#"{"parts":[],"starts":[1,2,3]}"#].iter().enumerate() {
        let key = format!("lycheeknot/quarantine/{number}");
        store.entries.lock().push(Entry { key, value: value.as_bytes().to_vec(), version: 1 });
    }
    let peers = peers();
    run(&store, &peers).await;
    assert!(peers.crashes(true).is_empty());
}
