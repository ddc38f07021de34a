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
use crate::command::Context;
use crate::confirm;
use crate::fleet;
use crate::output::Format;

/// Pause between queries of the fleet while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The result of a confirm.
#[derive(Debug, Serialize)]
struct Confirmed {
    revision: id::Revision,
    /// Processes where the revision is in force, if the command waited for that.
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

/// Puts a plan in force and prints its revision; `wait` is in seconds.
pub async fn run(
    context: &Context,
    name: &str,
    wait: Option<u64>,
    format: Format,
) -> Result<(), Error> {
    let plan = read_plan(&context.store, &context.profile.cluster, name).await?;
    let revision = confirm::confirm(&context.store, &context.profile.cluster, &plan).await?;
    let processes = match wait {
        Some(seconds) => Some(wait_until_in_force(context, revision, seconds).await?),
        None => None,
    };
    format.print(&Confirmed { revision, processes });
    Ok(())
}

async fn read_plan(store: &dyn Store, cluster: &str, name: &str) -> Result<Plan, Error> {
    let entry = store.read(&layout::plan(cluster, name)).await?;
    let plan = entry.and_then(|entry| serde_json::from_slice(&entry.value).ok());
    plan.ok_or_else(|| Error::NoPlan(name.to_owned()))
}

/// Waits until a revision is in force at every known process, and returns their number.
async fn wait_until_in_force(
    context: &Context,
    revision: id::Revision,
    seconds: u64,
) -> Result<usize, Error> {
    let deadline = Instant::now() + Duration::from_secs(seconds);
    loop {
        let status = fleet::refreshed_status(&context.profile, revision).await?;
        let lagging = count_lagging(&status, revision);
        if lagging == 0 {
            return Ok(status.members.len());
        }
        if Instant::now() >= deadline {
            return Err(Error::Lagging(revision, lagging));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the number of processes below a revision; those that are leaving don't count.
fn count_lagging(status: &Status, revision: id::Revision) -> usize {
    let members = status.members.iter();
    members.filter(|known| known.state != State::Leaving && known.revision < revision).count()
}
