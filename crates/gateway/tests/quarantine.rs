//! Tests of quarantines in the store.

#[path = "support/store.rs"]
mod store;

use std::sync::Arc;
use std::time::Duration;

use gateway::Member;
use gateway::Peers;
use gateway::Routing;
use policy::quarantine::Digest;
use policy::quarantine::Suspect;
use rpc::view::Source;
use services::store::Entry;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::store::Fake;

/// Time in which a gateway writes its quarantines and reads those of others, twice over.
const STORED: Duration = Duration::from_millis(2_500);

/// Returns the keys of the quarantines that are stored.
fn keys(store: &Fake) -> Vec<String> {
    let entries = store.entries.lock();
    let quarantines = entries.iter().filter(|it| it.key.starts_with("lycheeknot/quarantine/"));
    quarantines.map(|entry| entry.key.clone()).collect()
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
    assert_eq!(keys(&store), ["lycheeknot/quarantine/3-9"]);
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
        assert_eq!(keys(&store), ["lycheeknot/quarantine/3-9"]);
        let successes = vec![(3, Duration::ZERO), (9, Duration::ZERO)];
        peers.learn_crashes(&Digest { successes, ..Digest::default() });
    };
    tokio::join!(run(&store, &peers), succeed);
    assert_eq!(keys(&store), Vec::<String>::new());
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
