//! Takes the platform's list of VMs into the roster.

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

/// Time between two readings of the list.
const INTERVAL: Duration = Duration::from_secs(2);

/// Reads the list until cancelled.
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
        take(board, &latest);
        if !clock::sleep(INTERVAL, cancel).await {
            return;
        }
    }
}

/// The list lags behind: a member that it lacks stays while it is heard of,
/// and one that it names but nobody reaches gets no work.
fn take(board: &Board, vms: &[Vm]) {
    if vms.is_empty() {
        return;
    }
    let now = board.now();
    let own = &board.identity().vm;
    board.update_roster(|roster| {
        for vm in vms {
            roster.clear_tombstone(&vm.vm);
            roster.merge_at(described(vm), now);
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
        leave(board);
    }
}

/// A member that has described nothing itself; any description is newer.
fn described(vm: &Vm) -> Member {
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

/// The platform is about to take this VM away, so the process takes no more work.
fn leave(board: &Board) {
    board.update_roster(|roster| {
        if roster.own().is_some_and(|own| own.state != State::Leaving) {
            roster.update_own(|own| own.state = State::Leaving);
            log::info!("the platform is about to take this VM away: no new work is taken");
        }
    });
}
