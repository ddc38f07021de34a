//! Probes the engine and keeps the agent's own roster entry current.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use backend::Engine;
use board::Board;
use tokio_util::sync::CancellationToken;
use wire::Load;
use wire::member::State;

use crate::gate::Gate;
use crate::meter;

/// Time between two probes, and so between two updates of the roster entry.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes that fail in a row before the agent takes no more work.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Probes the engine until the token is cancelled.
pub(crate) async fn run(
    board: Arc<Board>,
    gate: Arc<Gate>,
    engine: Rc<dyn Engine>,
    cancel: CancellationToken,
) {
    let mut failures = 0;
    loop {
        meter::record_load(gate.load());
        match engine.probe().await {
            Ok(holds) => {
                failures = 0;
                update_own_entry(&board, State::Live, holds, gate.load());
            }
            Err(error) => {
                failures += 1;
                log::warn!("engine probe failed, {failures} in a row: {error}");
                if failures >= MAX_CONSECUTIVE_FAILURES {
                    update_own_entry(&board, State::Starting, Vec::new(), gate.load());
                }
            }
        }
        tokio::select! {
            () = tokio::time::sleep(PROBE_INTERVAL) => {}
            () = cancel.cancelled() => return,
        }
    }
}

/// Updates the agent's roster entry, only if something changed, as every update is gossiped.
fn update_own_entry(board: &Board, state: State, holds: Vec<String>, load: Load) {
    board.update_roster(|roster| {
        let Some(own) = roster.own() else { return };
        // A leaving agent never becomes live again.
        let state = if own.state == State::Leaving { State::Leaving } else { state };
        if own.state == state && own.holds == holds && own.load == load {
            return;
        }
        roster.update_own(|own| {
            own.state = state;
            own.holds = holds;
            own.load = load;
        });
    });
}

/// Marks the agent as leaving, so that it gets no more work.
pub(crate) fn mark_leaving(board: &Board) {
    board.update_roster(|roster| roster.update_own(|own| own.state = State::Leaving));
}
