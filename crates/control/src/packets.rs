//! Composes outgoing packets and merges received ones.

use std::time::Duration;

use policy::gossip::Change;
use policy::gossip::Suspect;
use policy::gossip::digest;
use policy::gossip::updates;
use policy::roster::Roster;
use rpc::Packet;
use wire::Beat;
use wire::Member;
use wire::Stamp;

use crate::shared::Shared;
use crate::shared::Table;

/// Highest number of suspicions in one packet.
const MAX_SUSPECTS: usize = 16;

/// Returns the packet to send now.
pub(crate) fn compose(shared: &Shared) -> Packet {
    let board = &shared.board;
    let now = shared.now();
    let stamp = board.stamp();
    let mean = board.mean();
    shared.with(|table| {
        board.with_roster(|roster| {
            let members = table.updates.pick(roster, &mut table.budget, now);
            let known = u32::try_from(roster.described_count()).unwrap_or(u32::MAX);
            let suspects = table.suspicion.pick(MAX_SUSPECTS);
            let view = digest::whole(roster);
            Packet { beat: Beat { stamp, mean, members, known }, view, suspects }
        })
    })
}

/// Merges a packet of a peer into the roster, the suspicions and the mean.
pub(crate) fn merge(shared: &Shared, packet: Packet) {
    let board = &shared.board;
    let now = shared.now();
    let Packet { beat, suspects, .. } = packet;
    shared.with(|table| {
        board.update_roster(|roster| {
            heal_partition(table, roster, &beat.stamp);
            for member in beat.members {
                merge_member(table, roster, &beat.stamp, member, now);
            }
            for suspect in &suspects {
                merge_suspect(table, roster, suspect, now);
            }
            roster.touch(&beat.stamp.vm, now);
        });
        table.suspicion.clear(&beat.stamp.vm);
        table.tracker.record_peer(&beat.stamp.vm, beat.stamp.revision);
    });
    if let Some(mean) = beat.mean {
        board.update_mean(|estimate| estimate.merge(&beat.stamp.vm, mean, now));
    }
    if beat.stamp.revision > board.revision() {
        shared.wake.notify_one();
    }
}

/// Ends a network partition after a message from a member that was unreachable.
///
/// The sender, and others on its side of the partition, may hold this process
/// unreachable as well; a newer description of itself corrects that.
fn heal_partition(table: &mut Table, roster: &mut Roster, sender: &Stamp) {
    if roster.member(&sender.vm).is_none() || roster.is_reachable(&sender.vm) {
        return;
    }
    roster.update_own(|_| ());
    for vm in roster.heal_partition(&sender.vm, sender.incarnation) {
        table.suspicion.clear(&vm);
    }
}

/// Merges the description of a member and passes it on if it is newer.
fn merge_member(
    table: &mut Table,
    roster: &mut Roster,
    sender: &Stamp,
    member: Member,
    now: Duration,
) {
    if member.vm == sender.vm {
        roster.clear_tombstone(&member.vm);
    }
    let before = roster.member(&member.vm).cloned();
    let was_unreachable = before.is_some() && !roster.is_reachable(&member.vm);
    if !roster.merge_at(member.clone(), now) {
        return;
    }
    if was_unreachable {
        // The member may hold this process unreachable as well; see `heal_partition`.
        roster.update_own(|_| ());
    }
    // Others may still hold the suspicion that this description refutes.
    let is_back = table.suspicion.refute(&member) || was_unreachable;
    let change = if is_back { Change::Up } else { Change::between(before.as_ref(), &member) };
    table.updates.record(&member.vm, change, roster.members().len(), now);
}

/// Merges a pulled description. It is passed on to others only if it refutes a
/// suspicion.
pub(crate) fn merge_pulled(table: &mut Table, roster: &mut Roster, member: Member, now: Duration) {
    if !roster.merge_at(member.clone(), now) {
        return;
    }
    if table.suspicion.refute(&member) {
        table.updates.record(&member.vm, Change::Up, roster.members().len(), now);
    }
}

/// Merges a suspicion that a peer reported, or refutes it if it is about this process.
fn merge_suspect(table: &mut Table, roster: &mut Roster, suspect: &Suspect, now: Duration) {
    let Some(known) = roster.member(&suspect.vm) else { return };
    let is_own = roster.own().is_some_and(|own| own.vm == suspect.vm);
    if is_own {
        // A newer description of this process refutes the suspicion.
        if suspect.version >= known.version {
            roster.update_own(|_| ());
        }
        return;
    }
    if !roster.is_reachable(&suspect.vm) {
        return;
    }
    let sends = updates::retransmit_limit(roster.members().len());
    table.suspicion.record_report(suspect, known, sends, now);
}
