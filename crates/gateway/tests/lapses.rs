//! Tests of gateways whose leases end while the store is away.

#[path = "support/address.rs"]
mod address;
#[path = "support/entries.rs"]
mod entries;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use gateway::Peers;
use gateway::Routing;
use platform::Client;
use platform::Codec;
use policy::quarantine::Digest;
use policy::quarantine::Suspect;
use rpc::view::Source;
use services::Store;
use services::store::Commit;
use services::store::Put;
use standins::key_value;
use standins::key_value::Faults;
use standins::key_value::Options;
use standins::server::Server;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::address::free_address;
use crate::entries::member;
use crate::entries::table;

/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_millis(1_500);

/// Bound for what lapsed to be written again: the time without disturbance after which machines count
/// as in touch.
const WRITTEN_BOUND: Duration = Duration::from_secs(3);

/// Regular renewals are 20 s apart.
const WATCHED: Duration = Duration::from_secs(9);

/// Starts a store with a configuration and an endpoint.
async fn store() -> (Server, Client) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = key_value::start(listen, Options::default()).expect("a store");
    let client = Client::new(server.addr());
    let endpoint = r#"{"service": "s", "address": "10.0.0.1:80", "zone": "a", "version": "v1",
        "state": "ready", "born": 1, "seq": 1}"#;
    let put = |key: &str, value: Vec<u8>| Put { key: key.to_owned(), value, lease: None };
    let endpoint = put("servers/a", endpoint.as_bytes().to_vec());
    let puts = vec![put("op/config", table(3).value), endpoint];
    client.commit(&Commit { puts, ..Commit::default() }).await.expect("a write");
    (server, client)
}

fn peers(vm: &str) -> Peers {
    Peers::new(Arc::<Routing>::default(), member(vm, free_address()), 1, Vec::new())
}

/// Lets the store be away for a time, in which all leases end.
async fn lapse(server: &Server) {
    let away = Faults { outage: true, end_leases: true, ..Faults::default() };
    key_value::set_faults(server, &away).expect("a store");
    sleep(OUTAGE).await;
    key_value::set_faults(server, &Faults::default()).expect("a store");
}

async fn wait_until(bound: Duration, is_done: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !is_done().await {
        assert!(start.elapsed() < bound, "it does not hold within {bound:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against LOST: what a gateway keeps in the store is missing until its lease would have been
/// renewed, 20 s later.
#[ntex::test]
async fn what_lapsed_while_the_store_was_away_is_not_written_again() {
    let (server, client) = store().await;
    let (peers, cancel) = (peers("g1"), CancellationToken::new());
    let suspect = Suspect::new([3, 9]).expect("parts");
    let crash = |start| (start, Duration::from_millis(300 * start), vec![suspect.clone()]);
    peers.learn_crashes(&Digest { crashes: (0..4).map(crash).collect(), successes: Vec::new() });
    let is_written = async || {
        let listed = client.list("lycheeknot").await.unwrap_or_default();
        let has = |prefix: &str| listed.iter().any(|entry| entry.key.starts_with(prefix));
        let kept = ["gateways/g1", "members/g1", "quarantine/3-9"];
        kept.iter().all(|key| has(&format!("lycheeknot/{key}"))) && has("lycheeknot-streams/g1/")
    };
    let scenario = async {
        wait_until(Duration::from_secs(5), is_written).await;
        for _ in 0..2 {
            lapse(&server).await;
            assert!(!is_written().await);
            wait_until(WRITTEN_BOUND, is_written).await;
        }
        cancel.cancel();
    };
    tokio::join!(
        gateway::follow(&Codec, &client, &peers, cancel.clone()).boxed_local(),
        gateway::register(&client, &peers, cancel.clone()).boxed_local(),
        scenario.boxed_local(),
    );
}

/// Guards against LIMIT and BUDGET: each gateway of a fleet takes itself for the only one after all
/// registrations have lapsed.
#[ntex::test]
async fn a_gateway_whose_fleet_lost_its_registrations_takes_itself_for_the_only_one() {
    let (server, client) = store().await;
    let (first, second) = (peers("g1"), peers("g2"));
    let cancel = CancellationToken::new();
    let gateways = || [&first, &second].map(|peers| peers.routing().gateways());
    let scenario = async {
        wait_until(Duration::from_secs(5), async || gateways() == [2, 2]).await;
        // The next lookups come after the outage.
        lapse(&server).await;
        let start = Instant::now();
        while start.elapsed() < WATCHED {
            assert_eq!(gateways(), [2, 2], "{:?} after the return", start.elapsed());
            sleep(Duration::from_millis(20)).await;
        }
        cancel.cancel();
    };
    tokio::join!(
        gateway::follow(&Codec, &client, &first, cancel.clone()).boxed_local(),
        gateway::follow(&Codec, &client, &second, cancel.clone()).boxed_local(),
        gateway::register(&client, &first, cancel.clone()).boxed_local(),
        gateway::register(&client, &second, cancel.clone()).boxed_local(),
        scenario.boxed_local(),
    );
}
