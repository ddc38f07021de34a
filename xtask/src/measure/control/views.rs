//! Time until each process sees every other one working.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;
use futures_util::future::join_all;
use rpc::Known;
use rpc::Pool;
use wire::Stamp;
use wire::member::Role;
use wire::member::State;

/// Pause between two queries of all processes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time to wait for complete views; then the measurement continues without.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Result of waiting until the views of all processes are complete.
pub(crate) struct Views {
    /// Time until all views were complete, if they were.
    pub(crate) complete: Option<Duration>,
    /// Members missing from views at the end, summed over all processes.
    pub(crate) missing: usize,
}

impl Views {
    /// Waits until all views are complete, at most [`TIMEOUT`] after the start.
    pub(crate) async fn wait(fleet: &Fleet, pool: &Pool, start: Instant) -> Views {
        loop {
            let missing = count_missing(fleet, pool).await;
            if missing == 0 {
                return Views { complete: Some(start.elapsed()), missing };
            }
            if start.elapsed() > TIMEOUT {
                return Views { complete: None, missing };
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the time, or how many members were missing, as a table cell.
    pub(crate) fn summary(&self) -> String {
        match self.complete {
            Some(time) => format!("{:.1} s", time.as_secs_f64()),
            None => format!("not in {} s: {} lacked", TIMEOUT.as_secs(), self.missing),
        }
    }
}

/// Returns the members missing from views, summed over all processes. A process
/// that doesn't answer counts as missing all.
async fn count_missing(fleet: &Fleet, pool: &Pool) -> usize {
    let all: BTreeSet<&str> = fleet.nodes().map(|node| node.vm.vm.as_str()).collect();
    let stamp = || Stamp { vm: "measure".to_owned(), incarnation: 0, revision: 0 };
    let queries = fleet.nodes().map(|node| async {
        let Ok(status) = pool.status(node.vm.control, stamp()).await else { return all.len() };
        let working = status.members.iter().filter(|known| is_working(known));
        all.len() - working.filter(|known| all.contains(known.vm.as_str())).count()
    });
    join_all(queries).await.into_iter().sum()
}

fn is_working(known: &Known) -> bool {
    known.state == State::Live && (known.role == Role::Entry || !known.holds.is_empty())
}
