//! A gateway without a connection to the store, while the configuration changes.

use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::plan::Fault;
use crate::proxy::Mode;

/// Index of the gateway that can't reach the store; gateway 0 is the seed of all others.
const GATEWAY: usize = 2;

/// Time for a configuration change to be in force at every gateway.
const CONFIGURE_TIMEOUT: Duration = Duration::from_secs(6);

/// Number of changes before, and again after, the gateway is restarted.
const CHANGES: usize = 2;

/// Runs the scenario and returns the violated guarantees.
pub async fn run(mode: Mode) -> Vec<String> {
    let folder = std::env::temp_dir().join(format!("soak-{}-{mode:?}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut cluster = Cluster::start(&folder).await;
    let partition = Fault::StoreLink(GATEWAY, mode);
    cluster.start_fault(&partition).await;
    for _ in 0..CHANGES {
        change_and_wait(&mut cluster).await;
    }
    let kill = Fault::KillGateway(GATEWAY);
    cluster.start_fault(&kill).await;
    cluster.end_fault(&kill).await;
    for _ in 0..CHANGES {
        change_and_wait(&mut cluster).await;
    }
    cluster.end_fault(&partition).await;
    change_and_wait(&mut cluster).await;
    let violations = cluster.ledger.violations();
    drop(cluster);
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    violations
}

/// Changes the configuration and waits until the gateway serves it.
async fn change_and_wait(cluster: &mut Cluster) {
    cluster.start_fault(&Fault::Configure).await;
    let start = Instant::now();
    while cluster.gateways[GATEWAY].shown < cluster.version {
        if start.elapsed() > CONFIGURE_TIMEOUT {
            let (shown, newest) = (cluster.gateways[GATEWAY].shown, cluster.version);
            cluster
                .ledger
                .record_violation(format!("it shows {shown} in place of {newest} after 6 s"));
            return;
        }
        sleep(Duration::from_millis(50)).await;
        cluster.probe().await;
    }
}
