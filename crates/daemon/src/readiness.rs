//! Updates the process's readiness and the state that peers see.

use std::time::Duration;

use telemetry::Reason;
use wire::member::Role;
use wire::member::State;

use crate::process;
use crate::process::Process;

/// Interval between updates of readiness and state.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Derives readiness and state from the board until the role is stopped, then
/// sets them to stopping and leaving.
pub async fn update_until_stopped(process: Process) {
    let updated = process.stop_role.run_until_cancelled(update_forever(&process)).await;
    debug_assert!(updated.is_none());
    process.readiness.block(Reason::Stopping);
    process::update_state(&process.board, State::Leaving);
}

async fn update_forever(process: &Process) {
    process.readiness.unblock(Reason::Starting);
    loop {
        if process.board.revision() > 0 {
            process.readiness.unblock(Reason::Configuration);
        }
        match process.board.identity().role {
            Role::Entry => update_entry(process),
            Role::Agent => update_agent(process),
        }
        tokio::time::sleep(UPDATE_INTERVAL).await;
    }
}

/// Derives an entry's state from its readiness.
fn update_entry(process: &Process) {
    let state = if process.readiness.is_ready() { State::Live } else { State::Starting };
    process::update_state(&process.board, state);
}

/// Derives an agent's readiness from its state, which its engine probe sets.
fn update_agent(process: &Process) {
    let is_live = process
        .board
        .with_roster(|roster| roster.own().is_some_and(|own| own.state == State::Live));
    if is_live {
        process.readiness.unblock(Reason::Engine);
    } else {
        process.readiness.block(Reason::Engine);
    }
}
