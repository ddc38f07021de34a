//! Writes and reads what beats carry.

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

/// Suspicions that one beat carries.
const SUSPECTS: usize = 16;

/// What the process has to tell now.
pub(crate) fn compose(shared: &Shared) -> Packet {
    let board = &shared.board;
    let now = shared.now();
    let stamp = board.stamp();
    let mean = board.mean();
    shared.with(|table| {
        board.with_roster(|roster| {
            let members = table.updates.pick(roster, &mut table.budget, now);
            let known = u32::try_from(roster.described_count()).unwrap_or(u32::MAX);
            let suspects = table.suspicion.pick(SUSPECTS);
            let view = digest::whole(roster);
            Packet { beat: Beat { stamp, mean, members, known }, view, suspects }
        })
    })
}

/// Takes in what a peer told.
pub(crate) fn take(shared: &Shared, packet: Packet) {
    let board = &shared.board;
    let now = shared.now();
    let Packet { beat, suspects, .. } = packet;
    shared.with(|table| {
        board.update_roster(|roster| {
            meet(table, roster, &beat.stamp);
            for member in beat.members {
                take_member(table, roster, &beat.stamp, member, now);
            }
            for suspect in &suspects {
                take_suspect(table, roster, suspect, now);
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

/// Whom this process held for silent may hold it for silent as well, and so may
/// others of that part: a newer description of itself ends that.
fn meet(table: &mut Table, roster: &mut Roster, sender: &Stamp) {
    if roster.member(&sender.vm).is_none() || roster.is_reachable(&sender.vm) {
        return;
    }
    roster.update_own(|_| ());
    for vm in roster.heal_partition(&sender.vm, sender.incarnation) {
        table.suspicion.clear(&vm);
    }
}

fn take_member(
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
    let was_silent = before.is_some() && !roster.is_reachable(&member.vm);
    if !roster.merge_at(member.clone(), now) {
        return;
    }
    if was_silent {
        roster.update_own(|_| ());
    }
    // Others may still hold the suspicion that this description refutes.
    let is_back = table.suspicion.refute(&member) || was_silent;
    let change = if is_back { Change::Up } else { Change::between(before.as_ref(), &member) };
    table.updates.record(&member.vm, change, roster.members().len(), now);
}

/// Takes in a description that was pulled. It is no news to others, but that a
/// suspicion is refuted is.
pub(crate) fn take_pulled(table: &mut Table, roster: &mut Roster, member: Member, now: Duration) {
    if !roster.merge_at(member.clone(), now) {
        return;
    }
    if table.suspicion.refute(&member) {
        table.updates.record(&member.vm, Change::Up, roster.members().len(), now);
    }
}

fn take_suspect(table: &mut Table, roster: &mut Roster, suspect: &Suspect, now: Duration) {
    let Some(known) = roster.member(&suspect.vm) else { return };
    let is_own = roster.own().is_some_and(|own| own.vm == suspect.vm);
    if is_own {
        // A newer description of itself refutes what others suspect.
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
