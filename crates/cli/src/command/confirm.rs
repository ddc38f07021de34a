//! `lycheeknot confirm`.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use config::Plan;
use config::layout;
use rpc::Status;
use serde::Serialize;
use services::Store;
use wire::id;
use wire::member::State;

use crate::Error;
use crate::command::Operation;
use crate::confirm;
use crate::fleet;
use crate::output::Format;

/// Pause between looks at the fleet while waiting.
const PAUSE: Duration = Duration::from_millis(200);

#[derive(Debug, Serialize)]
struct Confirmed {
    revision: id::Revision,
    /// Processes that have it, if that was waited for.
    processes: Option<usize>,
}

impl fmt::Display for Confirmed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {} is confirmed", self.revision)?;
        if let Some(processes) = self.processes {
            write!(f, " and in force at {processes} processes")?;
        }
        Ok(())
    }
}

/// Puts a plan in force and prints its revision.
pub async fn run(
    operation: &Operation,
    name: &str,
    wait: Option<u64>,
    format: Format,
) -> Result<(), Error> {
    let plan = kept(&operation.store, &operation.profile.cluster, name).await?;
    let revision = confirm::confirm(&operation.store, &operation.profile.cluster, &plan).await?;
    let processes = match wait {
        Some(seconds) => Some(in_force(operation, revision, seconds).await?),
        None => None,
    };
    format.print(&Confirmed { revision, processes });
    Ok(())
}

async fn kept(store: &dyn Store, cluster: &str, name: &str) -> Result<Plan, Error> {
    let entry = store.read(&layout::plan(cluster, name)).await?;
    let plan = entry.and_then(|entry| serde_json::from_slice(&entry.value).ok());
    plan.ok_or_else(|| Error::NoPlan(name.to_owned()))
}

/// Waits until every process known has a revision, and gives their number.
async fn in_force(
    operation: &Operation,
    revision: id::Revision,
    seconds: u64,
) -> Result<usize, Error> {
    let until = Instant::now() + Duration::from_secs(seconds);
    loop {
        let status = fleet::status_at(&operation.profile, revision).await?;
        let lagging = lagging(&status, revision);
        if lagging == 0 {
            return Ok(status.members.len());
        }
        if Instant::now() >= until {
            return Err(Error::Lagging(revision, lagging));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn lagging(status: &Status, revision: id::Revision) -> usize {
    let members = status.members.iter();
    members.filter(|known| known.state != State::Leaving && known.revision < revision).count()
}
