//! Merges the platform's VM list into the roster.

use std::time::Duration;

use board::Board;
use services::Vms;
use services::vms::State as Listed;
use services::vms::Vm;
use tokio_util::sync::CancellationToken;
use wire::Load;
use wire::Member;
use wire::member::State;

use crate::clock;

/// Time between two reads of the VM list.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the VM list at an interval and updates the roster, until cancelled.
pub(crate) async fn follow(board: &Board, list: &dyn Vms, cancel: &CancellationToken) {
    let mut latest = Vec::new();
    loop {
        let read = tokio::select! {
            () = cancel.cancelled() => return,
            read = list.list() => read,
        };
        match read {
            Ok(Some(vms)) => latest = vms,
            Ok(None) => (),
            Err(error) => log::warn!("{error}"),
        }
        update(board, &latest);
        if !clock::sleep(POLL_INTERVAL, cancel).await {
            return;
        }
    }
}

/// Updates the roster from the VM list; an empty list is ignored.
///
/// The list lags behind: a member that it lacks stays as long as it can be reached,
/// and a listed one that nobody can reach gets no work.
fn update(board: &Board, vms: &[Vm]) {
    if vms.is_empty() {
        return;
    }
    let now = board.now();
    let own = &board.identity().vm;
    board.update_roster(|roster| {
        for vm in vms {
            roster.clear_tombstone(&vm.vm);
            roster.merge_at(undescribed(vm), now);
        }
        let is_gone = |member: &&Member| {
            let is_listed = vms.iter().any(|vm| vm.vm == member.vm);
            let is_alive = member.incarnation > 0 && roster.is_reachable(&member.vm);
            !is_listed && !is_alive && member.vm != *own
        };
        let gone = roster.members().iter().filter(is_gone).map(|member| member.vm.clone());
        for vm in gone.collect::<Vec<_>>() {
            roster.remove(&vm);
        }
    });
    let is_leaving = vms.iter().any(|vm| vm.vm == *own && vm.state == Listed::Leaving);
    if is_leaving {
        mark_leaving(board);
    }
}

/// Returns a member that hasn't described itself yet; any description is newer.
fn undescribed(vm: &Vm) -> Member {
    Member {
        vm: vm.vm.clone(),
        incarnation: 0,
        version: 0,
        role: vm.role,
        centre: vm.centre.clone(),
        region: vm.region.clone(),
        data: vm.data,
        control: vm.control,
        state: State::Starting,
        revision: 0,
        holds: Vec::new(),
        load: Load::default(),
    }
}

/// Marks this process as leaving, so that it gets no new work, because the platform
/// is about to take its VM away.
fn mark_leaving(board: &Board) {
    board.update_roster(|roster| {
        if roster.own().is_some_and(|own| own.state != State::Leaving) {
            roster.update_own(|own| own.state = State::Leaving);
            log::info!("the platform is about to take this VM away: no new work is taken");
        }
    });
}
