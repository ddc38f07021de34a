//! Keeps readiness and the state that peers see current.

use std::time::Duration;

use telemetry::Reason;
use wire::member::Role;
use wire::member::State;

use crate::process;
use crate::process::Process;

/// How often the state is looked at.
const INTERVAL: Duration = Duration::from_millis(100);

/// Follows the board until the process is told to stop, then says so to all.
pub async fn follow(process: Process) {
    let ended = process.stop.run_until_cancelled(look(&process)).await;
    debug_assert!(ended.is_none());
    process.readiness.block(Reason::Stopping);
    process::announce_state(&process.board, State::Leaving);
}

async fn look(process: &Process) {
    process.readiness.unblock(Reason::Starting);
    loop {
        if process.board.revision() > 0 {
            process.readiness.unblock(Reason::Configuration);
        }
        match process.board.identity().role {
            Role::Entry => look_at_entry(process),
            Role::Agent => look_at_agent(process),
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

fn look_at_entry(process: &Process) {
    let state = if process.readiness.is_ready() { State::Live } else { State::Starting };
    process::announce_state(&process.board, state);
}

/// An agent's own probe sets its state; readiness follows it.
fn look_at_agent(process: &Process) {
    let is_live = process
        .board
        .with_roster(|roster| roster.own().is_some_and(|own| own.state == State::Live));
    if is_live {
        process.readiness.unblock(Reason::Engine);
    } else {
        process.readiness.block(Reason::Engine);
    }
}
