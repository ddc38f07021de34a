//! How a measurement gets its deployment.

use std::path::Path;
use std::time::Duration;

use fleet::Binaries;
use fleet::Deployment;
use fleet::Fleet;
use fleet::http::Client;

use crate::error::Error;

/// Time within which all daemons have to be ready.
const READY_TIME: Duration = Duration::from_secs(30);

/// Starts a deployment in which all engines are seen, an intent is in force and
/// all processes are ready.
///
/// # Errors
///
/// Why it can't be started, or which processes are not ready in time.
pub(crate) async fn start(
    deployment: &Deployment,
    intent: &Path,
    binaries: &Binaries,
    client: &Client,
) -> Result<Fleet, Error> {
    let fleet = Fleet::start(deployment, binaries)?;
    fleet.wait_until_seen(READY_TIME).await?;
    fleet.operator.apply(intent)?;
    fleet.wait_until_ready(client, READY_TIME).await?;
    Ok(fleet)
}
