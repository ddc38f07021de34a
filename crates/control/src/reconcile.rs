//! Pulls members whose descriptions a process lacks from a peer.

use std::net::SocketAddr;

use policy::gossip::Comparison;
use policy::gossip::digest;
use rpc::Error;
use rpc::Packet;
use rpc::Pool;
use wire::Member;

use crate::packets;
use crate::shared::Shared;

/// What a peer's beat showed of its view.
#[derive(Debug, Clone, Copy)]
pub(crate) struct View {
    hash: u32,
    known: u32,
}

impl View {
    /// The view that a packet shows.
    pub(crate) fn of(packet: &Packet) -> View {
        View { hash: packet.view, known: packet.beat.known }
    }
}

/// Compares the own view with that of a peer which was just heard, and pulls
/// what is lacking if it is time.
///
/// The process tells nobody of what it pulled: others pull it as well.
pub(crate) async fn run(shared: &Shared, pool: &Pool, address: SocketAddr, view: View) {
    let Some(most) = due(shared, view) else { return };
    if let Err(error) = pull(shared, pool, address, most).await {
        log::debug!("members were not pulled: {error}");
    }
}

fn due(shared: &Shared, view: View) -> Option<usize> {
    let now = shared.now();
    shared.with(|table| {
        let comparison = shared.board.with_roster(|roster| Comparison {
            differs: digest::whole(roster) != view.hash,
            own: roster.described_count(),
            theirs: usize::try_from(view.known).unwrap_or(usize::MAX),
            pending: table.updates.pending(),
        });
        table.reconciler.pull_limit(comparison, now)
    })
}

async fn pull(shared: &Shared, pool: &Pool, address: SocketAddr, most: usize) -> Result<(), Error> {
    let board = &shared.board;
    let buckets = board.with_roster(digest::buckets);
    let theirs = pool.hashes(address, board.stamp(), &buckets).await?;
    let wanted = board.with_roster(|roster| digest::missing(roster, &theirs, most));
    let members = match wanted.is_empty() {
        true => Vec::new(),
        false => pool.described(address, board.stamp(), &wanted).await?,
    };
    let hashes = buckets.len() + theirs.len() + wanted.len();
    shared.with(|table| table.reconciler.record_pull(hashes, members.len()));
    take(shared, members);
    Ok(())
}

fn take(shared: &Shared, members: Vec<Member>) {
    let now = shared.now();
    shared.with(|table| {
        shared.board.update_roster(|roster| {
            for member in members {
                packets::take_pulled(table, roster, member, now);
            }
        });
    });
}
