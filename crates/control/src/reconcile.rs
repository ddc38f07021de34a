//! Anti-entropy: pulls missing descriptions of members from a peer.

use std::net::SocketAddr;

use policy::gossip::Comparison;
use policy::gossip::digest;
use rpc::Error;
use rpc::Packet;
use rpc::Pool;
use wire::Member;

use crate::packets;
use crate::shared::Shared;

/// Hash and count of the descriptions that a peer knows, as its beat shows them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Summary {
    hash: u32,
    known: u32,
}

impl Summary {
    /// Returns the summary that a packet carries.
    pub(crate) fn of(packet: &Packet) -> Summary {
        Summary { hash: packet.view, known: packet.beat.known }
    }
}

/// Compares the own descriptions with those of a peer whose beat just came, and
/// pulls the missing ones if a pull is due.
///
/// Pulled descriptions aren't passed on, because the other members pull them as well.
pub(crate) async fn run(shared: &Shared, pool: &Pool, address: SocketAddr, summary: Summary) {
    let Some(limit) = pull_limit(shared, summary) else { return };
    if let Err(error) = pull(shared, pool, address, limit).await {
        log::debug!("pulling members failed: {error}");
    }
}

/// Returns the highest number of descriptions to pull now; `None` if no pull is due.
fn pull_limit(shared: &Shared, summary: Summary) -> Option<usize> {
    let now = shared.now();
    shared.with(|table| {
        let comparison = shared.board.with_roster(|roster| Comparison {
            differs: digest::whole(roster) != summary.hash,
            own: roster.described_count(),
            theirs: usize::try_from(summary.known).unwrap_or(usize::MAX),
            pending: table.updates.pending(),
        });
        table.reconciler.pull_limit(comparison, now)
    })
}

async fn pull(
    shared: &Shared,
    pool: &Pool,
    address: SocketAddr,
    limit: usize,
) -> Result<(), Error> {
    let board = &shared.board;
    let buckets = board.with_roster(digest::buckets);
    let theirs = pool.hashes(address, board.stamp(), &buckets).await?;
    let missing = board.with_roster(|roster| digest::missing(roster, &theirs, limit));
    let members = match missing.is_empty() {
        true => Vec::new(),
        false => pool.described(address, board.stamp(), &missing).await?,
    };
    let hashes = buckets.len() + theirs.len() + missing.len();
    shared.with(|table| table.reconciler.record_pull(hashes, members.len()));
    merge(shared, members);
    Ok(())
}

fn merge(shared: &Shared, members: Vec<Member>) {
    let now = shared.now();
    shared.with(|table| {
        shared.board.update_roster(|roster| {
            for member in members {
                packets::merge_pulled(table, roster, member, now);
            }
        });
    });
}
