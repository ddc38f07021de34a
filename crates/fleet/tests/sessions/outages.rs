//! The key-value service fails while bookings are made.

use std::time::Duration;

use fleet::Outcome;
use futures_util::join;
use standins::key_value::Faults;

use crate::load::Load;
use crate::scene::LONG;
use crate::scene::Scene;
use crate::verdict::Verdict;

const REQUESTS: usize = 300;
/// Requests after which the fault begins.
const BEFORE: usize = 80;
/// Requests after which it ends.
const UNTIL: usize = 200;
/// It ends after this time also if all callers wait.
const MOST: Duration = Duration::from_secs(8);

#[ntex::test]
async fn failures_of_the_key_value_service_double_no_booking() {
    let scene = Scene::start().await;
    during(&scene, Faults { outage: true, ..Faults::default() }, 31).await;
    during(&scene, Faults { lose_answers: 20, ..Faults::default() }, 32).await;
    during(&scene, Faults { delay_ms: 300, ..Faults::default() }, 33).await;
}

async fn during(scene: &Scene, faults: Faults, seed: u64) {
    let load = Load::new(scene, seed, REQUESTS);
    let progress = load.progress();
    let url = scene.fleet.key_value.url("/standin/faults");
    let fail = async {
        progress.reach(BEFORE, LONG).await;
        scene.client.post(&url, &faults).await.expect("the stand-in answers");
        progress.reach(UNTIL, MOST).await;
        scene.client.post(&url, &Faults::default()).await.expect("the stand-in answers");
    };
    let (ended, ()) = join!(load.run(), fail);
    let verdict = Verdict::judge(scene, &ended, None).await;
    assert!(verdict.faults.is_empty(), "{faults:?}: {:#?}", verdict.faults);
    let mut chats = ended.iter().filter(|request| !request.job.is_booking());
    let failed = chats.find(|request| !is_served_or_bound(&request.outcome));
    assert!(failed.is_none(), "chats don't need the service: {failed:?}");
}

/// The load bound has a test of its own.
fn is_served_or_bound(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answer(_) => true,
        Outcome::Refused(refusal) => refusal.kind.ends_with(":bound"),
        Outcome::Failed(_) => false,
    }
}
