//! A gateway that can't reach the store while configurations and endpoints change.

use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::plan::Fault;
use crate::proxy::Mode;
use crate::world::World;

/// The gateway that can't reach the store; the first one is everybody's seed.
const CUT: usize = 2;

/// The time within which a change of the configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);

/// Changes while the gateway runs, and again after it was started anew.
const CHANGES: usize = 2;

/// Plays the story and gives the promises that were broken.
pub async fn play(mode: Mode) -> Vec<String> {
    let folder = std::env::temp_dir().join(format!("soak-{}-{mode:?}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut world = World::start(&folder).await;
    let cut = Fault::CutStore(CUT, mode);
    world.begin(&cut).await;
    for _ in 0..CHANGES {
        follows(&mut world).await;
    }
    let kill = Fault::KillGateway(CUT);
    world.begin(&kill).await;
    world.end(&kill).await;
    for _ in 0..CHANGES {
        follows(&mut world).await;
    }
    world.end(&cut).await;
    follows(&mut world).await;
    let verdict = world.ledger.verdict();
    drop(world);
    if verdict.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    verdict
}

/// Changes the configuration and waits until the gateway shows it.
async fn follows(world: &mut World) {
    world.begin(&Fault::Configure).await;
    let start = Instant::now();
    while world.gateways[CUT].shown < world.version {
        if start.elapsed() > IN_FORCE {
            let (shown, newest) = (world.gateways[CUT].shown, world.version);
            world.ledger.broke(format!("it shows {shown} in place of {newest} after 6 s"));
            return;
        }
        sleep(Duration::from_millis(50)).await;
        world.probe().await;
    }
}
