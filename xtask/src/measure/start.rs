//! Starts the deployment of a measurement.

use std::path::Path;
use std::time::Duration;

use fleet::Binaries;
use fleet::Deployment;
use fleet::Fleet;
use fleet::http::Client;

use crate::error::Error;

/// Time within which all daemons have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a deployment and returns it once the fleet sees all engines, the intent is
/// in force and all processes are ready.
///
/// # Errors
///
/// [`Error::Fleet`] if it can't be started, the intent can't be applied or some
/// processes are not ready in time.
pub(crate) async fn start(
    deployment: &Deployment,
    intent: &Path,
    binaries: &Binaries,
    client: &Client,
) -> Result<Fleet, Error> {
    let fleet = Fleet::start(deployment, binaries)?;
    fleet.wait_until_seen(READY_TIMEOUT).await?;
    fleet.operator.apply(intent)?;
    fleet.wait_until_ready(client, READY_TIMEOUT).await?;
    Ok(fleet)
}
