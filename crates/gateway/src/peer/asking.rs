//! Asks peers for what the store didn't tell.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rpc::view;
use rpc::view::Answer;
use rpc::view::Cursor;
use rpc::view::Snapshot;
use tokio::time::timeout;

use crate::peer::Peers;

/// Peers that are asked at a time: with half of them turned away as well, seven
/// of eight rounds find one that isn't.
const ASKED: usize = 3;

/// Time for a peer's answer, several round trips between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// What some peer knows that isn't known here yet, under the prefixes whose changes
/// are missed: one that hears from the store if there is one, else the one that tells
/// most to a process that knows nothing.
pub(crate) async fn ask(peers: &Peers, missed: &[Cursor]) -> Vec<Snapshot> {
    let mut addresses = peers.addresses();
    addresses.shuffle(&mut rand::rng());
    let mut asked: Vec<SocketAddr> = Vec::new();
    let mut latest: Vec<Snapshot> = Vec::new();
    while let Some(address) = addresses.pop() {
        if asked.contains(&address) {
            continue;
        }
        if asked.len() == ASKED {
            break;
        }
        asked.push(address);
        let Some(answer) = ask_one(address, missed).await else { continue };
        if answer.is_current {
            return answer.snapshots;
        }
        addresses.extend(answer.peers);
        if version(&answer.snapshots) > version(&latest) {
            latest = answer.snapshots;
        }
    }
    log::info!(asked:? = asked, snapshots = latest.len(); "no peer hears from the store");
    latest
}

fn version(snapshots: &[Snapshot]) -> u64 {
    snapshots.iter().map(|snapshot| snapshot.listing.version).max().unwrap_or_default()
}

async fn ask_one(address: SocketAddr, missed: &[Cursor]) -> Option<Answer> {
    match timeout(ANSWER_TIMEOUT, view::ask(address, missed)).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) => {
            log::info!("{error}");
            None
        }
        Err(_) => {
            log::info!(peer:% = address; "a peer doesn't answer in {ANSWER_TIMEOUT:?}");
            None
        }
    }
}
