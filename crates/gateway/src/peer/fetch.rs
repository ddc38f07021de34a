//! Fetches snapshots of the store's keys from peers.

use std::net::SocketAddr;
use std::time::Duration;

use policy::relay::Duty;
use rand::seq::SliceRandom;
use rpc::view;
use rpc::view::Answer;
use rpc::view::Cursor;
use rpc::view::Snapshot;
use tokio::time::timeout;

use crate::peer::Peers;

/// Peers that are asked in one round. Even if half of all peers can't read the store either,
/// seven of eight rounds find one that can.
const PEERS_PER_ROUND: usize = 3;

/// Time limit for a peer's answer: several round trips between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Fetches newer snapshots of stale prefixes from peers, and whether a peer's view is current.
///
/// Returns the snapshots of the first peer whose own view of the store is current. If no peer
/// has one, returns the newest snapshots among the answers; such peers send snapshots only
/// of prefixes of which this process knows nothing.
pub(crate) async fn fetch(peers: &Peers, stale: &[Cursor]) -> (Vec<Snapshot>, bool) {
    let mut addresses = peers.addresses();
    addresses.shuffle(&mut rand::rng());
    // The relays read the store before others do, so they are asked first.
    addresses.extend(peers.relay_addresses(Duty::Store));
    let mut asked: Vec<SocketAddr> = Vec::new();
    let mut latest: Vec<Snapshot> = Vec::new();
    while let Some(address) = addresses.pop() {
        if asked.contains(&address) {
            continue;
        }
        if asked.len() == PEERS_PER_ROUND {
            break;
        }
        asked.push(address);
        let Some(answer) = fetch_from(address, stale).await else { continue };
        if answer.is_current {
            return (answer.snapshots, true);
        }
        addresses.extend(answer.peers);
        if version(&answer.snapshots) > version(&latest) {
            latest = answer.snapshots;
        }
    }
    log::info!(asked:? = asked, snapshots = latest.len();
        "no peer has a current view of the store");
    (latest, false)
}

/// Returns the highest store version among snapshots; 0 if there are none.
fn version(snapshots: &[Snapshot]) -> u64 {
    snapshots.iter().map(|snapshot| snapshot.listing.version).max().unwrap_or_default()
}

/// Asks one peer; `None` if the call fails or takes too long.
async fn fetch_from(address: SocketAddr, stale: &[Cursor]) -> Option<Answer> {
    match timeout(ANSWER_TIMEOUT, view::ask(address, stale)).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) => {
            log::info!("{error}");
            None
        }
        Err(_) => {
            log::info!(peer:% = address; "the peer did not answer within {ANSWER_TIMEOUT:?}");
            None
        }
    }
}
