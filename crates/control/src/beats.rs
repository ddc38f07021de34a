//! Exchanges beats with the neighbours.

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
use crate::reconcile::View;
use crate::shared::Shared;

/// Time between two beats.
const INTERVAL: Duration = Duration::from_secs(1);

/// Wait before an exchange that failed is tried again.
const RETRY: Duration = Duration::from_millis(500);

/// Exchanges that may be under way at once.
const CONCURRENT: usize = 16;

/// Beats until cancelled: with one neighbour in turn, and with all at once
/// when a newer configuration is in force or it gathers what is known at its start.
pub(crate) async fn run(shared: &Shared, pool: &Pool, cancel: &CancellationToken) {
    let mut random = Pcg64::seed_from_u64(seed(shared));
    let mut revisions = shared.board.revisions();
    let start = time::Instant::now() + random.random_range(Duration::ZERO..INTERVAL / 4);
    let mut ticks = time::interval_at(start, INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut exchanges = FuturesUnordered::new();
    loop {
        let is_urgent = tokio::select! {
            () = cancel.cancelled() => return,
            Some(()) = exchanges.next() => continue,
            _ = ticks.tick() => is_gathering(shared),
            changed = revisions.changed() => changed.is_ok(),
        };
        for vm in peers(shared, random.next_u64(), is_urgent) {
            if exchanges.len() < CONCURRENT {
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

/// The same process never draws the same numbers in two runs.
fn seed(shared: &Shared) -> u64 {
    let identity = shared.board.identity();
    let vm = identity.vm.bytes().fold(0, |sum: u64, byte| sum.rotate_left(7) ^ u64::from(byte));
    identity.incarnation ^ vm
}

/// Keeps suspicions and neighbours current; gives whom to beat with now.
fn peers(shared: &Shared, seed: u64, is_urgent: bool) -> Vec<id::Vm> {
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

/// Exchanges beats, and tries a second time before the peer is suspected.
async fn exchange(shared: &Shared, pool: &Pool, vm: id::Vm) {
    if attempt(shared, pool, &vm).await {
        return;
    }
    time::sleep(RETRY).await;
    attempt(shared, pool, &vm).await;
}

/// Says whether the peer answered, be it with a refusal, or is not known.
async fn attempt(shared: &Shared, pool: &Pool, vm: &str) -> bool {
    let Some(address) = address(shared, vm) else { return true };
    match pool.beat(address, &packets::compose(shared)).await {
        Ok(answer) => {
            let view = View::of(&answer);
            packets::take(shared, answer);
            reconcile::run(shared, pool, address, view).await;
            true
        }
        Err(error) => failed(shared, vm, &error),
    }
}

/// Where a member takes control calls.
pub(crate) fn address(shared: &Shared, vm: &str) -> Option<SocketAddr> {
    shared.board.with_roster(|roster| roster.member(vm).map(|member| member.control))
}

fn failed(shared: &Shared, vm: &str, error: &Error) -> bool {
    log::debug!("no beat was exchanged with {vm}: {error}");
    // A process that refuses a call is there.
    if let Error::Refused(..) = error {
        return true;
    }
    let now = shared.now();
    shared.with(|table| {
        shared.board.with_roster(|roster| {
            let Some(member) = roster.member(vm) else { return };
            // That it is silent is known already, and no news to others.
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
