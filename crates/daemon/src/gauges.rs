//! Updates the gauges that concern the whole process; `docs/METRICS.md` lists them.

use std::time::Duration;

use metrics::gauge;
use wire::member::State;

use crate::process::Process;

/// Interval between updates of the gauges.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Milliseconds in a second; an incarnation is the start time in Unix milliseconds.
const MS_PER_SECOND: f64 = 1000.0;
/// Member states with their values of the `state` label.
const STATE_LABELS: [(State, &str); 3] =
    [(State::Starting, "starting"), (State::Live, "live"), (State::Leaving, "leaving")];

/// Updates the gauges regularly until the controllers are stopped.
pub async fn update_until_stopped(process: Process) {
    let start = process.board.identity().incarnation as f64 / MS_PER_SECOND;
    gauge!("lycheeknot_start_seconds").set(start);
    let updates = async {
        loop {
            update(&process);
            tokio::time::sleep(UPDATE_INTERVAL).await;
        }
    };
    process.stop_controllers.run_until_cancelled(updates).await;
}

fn update(process: &Process) {
    gauge!("lycheeknot_ready").set(if process.readiness.is_ready() { 1.0 } else { 0.0 });
    let states: Vec<State> = process
        .board
        .with_roster(|roster| roster.members().iter().map(|member| member.state).collect());
    for (state, label) in STATE_LABELS {
        let members = states.iter().filter(|known| **known == state).count();
        gauge!("lycheeknot_members", "state" => label).set(members as f64);
    }
}
