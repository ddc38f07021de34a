//! Exchanges beats (gossip heartbeats) with the neighbours.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use policy::gossip::updates;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rpc::Error;
use rpc::Pool;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wire::id;

use crate::packets;
use crate::reconcile;
use crate::reconcile::Summary;
use crate::shared::Shared;

/// Time between two beats.
const BEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before a failed exchange is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Highest number of concurrent exchanges.
const MAX_EXCHANGES: usize = 16;

/// Sends beats until cancelled: to one neighbour per interval in turn, and to all
/// at once when a newer configuration is in force or while a starting process
/// gathers the revisions that its peers know.
pub(crate) async fn run(shared: &Shared, pool: &Pool, cancel: &CancellationToken) {
    let mut random = Pcg64::seed_from_u64(seed(shared));
    let mut revisions = shared.board.revisions();
    let start = time::Instant::now() + random.random_range(Duration::ZERO..BEAT_INTERVAL / 4);
    let mut ticks = time::interval_at(start, BEAT_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut exchanges = FuturesUnordered::new();
    loop {
        let is_urgent = tokio::select! {
            () = cancel.cancelled() => return,
            Some(()) = exchanges.next() => continue,
            _ = ticks.tick() => is_gathering(shared),
            changed = revisions.changed() => changed.is_ok(),
        };
        for vm in select_peers(shared, random.next_u64(), is_urgent) {
            if exchanges.len() < MAX_EXCHANGES {
                exchanges.push(exchange(shared, pool, vm));
            }
        }
    }
}

fn is_gathering(shared: &Shared) -> bool {
    let known = shared.board.with_roster(|roster| roster.members().len().saturating_sub(1));
    let now = shared.now();
    shared.with(|table| table.tracker.is_gathering(known, now))
}

/// Returns a seed of VM and incarnation, so that two runs of a process use
/// different random numbers.
fn seed(shared: &Shared) -> u64 {
    let identity = shared.board.identity();
    let vm = identity.vm.bytes().fold(0, |sum: u64, byte| sum.rotate_left(7) ^ u64::from(byte));
    identity.incarnation ^ vm
}

/// Updates suspicions and neighbours, and returns the peers to exchange beats with now.
fn select_peers(shared: &Shared, seed: u64, is_urgent: bool) -> Vec<id::Vm> {
    let now = shared.now();
    shared.with(|table| {
        table.suspicion.expire(now);
        shared.board.update_roster(|roster| {
            for vm in table.suspicion.unreachable(roster.members().len(), now) {
                roster.mark_unreachable(&vm);
            }
            table.neighbours.refresh(roster, seed, now);
        });
        if is_urgent {
            return table.neighbours.all().to_vec();
        }
        table.neighbours.next_peer().into_iter().cloned().collect()
    })
}

/// Exchanges beats with a peer. A failure is retried once before the peer is suspected.
async fn exchange(shared: &Shared, pool: &Pool, vm: id::Vm) {
    if try_exchange(shared, pool, &vm).await {
        return;
    }
    time::sleep(RETRY_DELAY).await;
    try_exchange(shared, pool, &vm).await;
}

/// Returns `false` if the exchange should be retried: the peer is known and did
/// not answer. A refusal is an answer.
async fn try_exchange(shared: &Shared, pool: &Pool, vm: &str) -> bool {
    let Some(address) = address(shared, vm) else { return true };
    match pool.beat(address, &packets::compose(shared)).await {
        Ok(answer) => {
            let summary = Summary::of(&answer);
            packets::merge(shared, answer);
            reconcile::run(shared, pool, address, summary).await;
            true
        }
        Err(error) => handle_failure(shared, vm, &error),
    }
}

/// Returns the address where a member takes control calls; `None` if it is unknown.
pub(crate) fn address(shared: &Shared, vm: &str) -> Option<SocketAddr> {
    shared.board.with_roster(|roster| roster.member(vm).map(|member| member.control))
}

/// Suspects a peer that can't be reached. Returns whether it answered with a refusal.
fn handle_failure(shared: &Shared, vm: &str, error: &Error) -> bool {
    log::debug!("beat exchange with {vm} failed: {error}");
    // A process that refuses a call is alive.
    if let Error::Refused(..) = error {
        return true;
    }
    let now = shared.now();
    shared.with(|table| {
        shared.board.with_roster(|roster| {
            let Some(member) = roster.member(vm) else { return };
            // It is known to be unreachable already, so there is nothing to spread.
            if !roster.is_reachable(vm) {
                return;
            }
            table.suspicion.record_failure(
                member,
                updates::retransmit_limit(roster.members().len()),
                now,
            );
        });
        table.tracker.record_peer_failure(vm);
    });
    false
}
