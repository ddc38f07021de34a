//! Two faults at once, and claims that lapse while their holder is frozen.

use std::path::Path;
use std::time::Duration;

use fleet::Outcome;
use fleet::caller::Call;
use fleet::endpoint::Kind;
use futures_util::join;
use standins::key_value::Faults;
use tokio::time::sleep;

use crate::load::Load;
use crate::scene::LONG;
use crate::scene::Scene;
use crate::verdict::Verdict;

const REQUESTS: usize = 300;
/// Requests after which the first fault begins.
const BEFORE: usize = 80;
/// Requests after which the second one begins.
const AMID: usize = 120;
/// Requests after which what can end ends.
const UNTIL: usize = 200;
/// It ends after this time also if all callers wait.
const MOST: Duration = Duration::from_secs(8);
/// Claim age, of which a call has to be begun in the first half.
const CLAIM_AGE: Duration = Duration::from_secs(4);
/// What the key-value service takes for each answer, so that an agent can be
/// frozen before it has its claim.
const DELAY: Duration = Duration::from_millis(1_500);
/// The lease of a claim lives for five quarters of the claim age.
const LAPSE: Duration = Duration::from_secs(6);

#[ntex::test]
async fn a_killed_agent_while_the_key_value_service_is_down_doubles_nothing() {
    let mut scene = Scene::start().await;
    let load = Load::new(&scene, 41, REQUESTS);
    let progress = load.progress();
    scene.slow_registries().await;
    let index = scene.first(Kind::Plain);
    let url = scene.fleet.key_value.url("/standin/faults");
    let fail = async {
        progress.reach(BEFORE, LONG).await;
        scene.until_busy(index).await;
        let outage = Faults { outage: true, ..Faults::default() };
        scene.client.post(&url, &outage).await.expect("the stand-in answers");
        scene.fleet.endpoints[index].agent.process.kill();
        progress.reach(UNTIL, MOST).await;
        scene.client.post(&url, &Faults::default()).await.expect("the stand-in answers");
    };
    let (ended, ()) = join!(load.run(), fail);
    let verdict = Verdict::judge(&scene, &ended, None).await;
    assert!(verdict.faults.is_empty(), "{:#?}", verdict.faults);
}

#[ntex::test]
async fn a_killed_entry_while_an_agent_is_frozen_doubles_nothing() {
    let mut scene = Scene::start().await;
    let load = Load::new(&scene, 42, REQUESTS);
    let progress = load.progress();
    scene.slow_registries().await;
    let index = scene.first(Kind::Plain);
    let fail = async {
        progress.reach(BEFORE, LONG).await;
        scene.until_busy(index).await;
        scene.fleet.endpoints[index].agent.process.freeze().expect("a running process");
        progress.reach(AMID, MOST).await;
        scene.fleet.entries[0].process.kill();
        progress.reach(UNTIL, MOST).await;
        scene.fleet.endpoints[index].agent.process.thaw().expect("a running process");
    };
    let (ended, ()) = join!(load.run(), fail);
    let verdict = Verdict::judge(&scene, &ended, Some(0)).await;
    assert!(verdict.faults.is_empty(), "{:#?}", verdict.faults);
}

#[ntex::test]
async fn a_holder_that_wakes_after_its_claim_lapsed_runs_nothing() {
    let mut scene = Scene::start().await;
    shorten_claims(&scene).await;
    let holder = scene.first(Kind::Plain);
    scene.fleet.endpoints[holder + 1].agent.process.kill();
    let url = scene.fleet.key_value.url("/standin/faults");
    let slow = Faults { delay_ms: DELAY.as_millis() as u64, ..Faults::default() };
    scene.client.post(&url, &slow).await.expect("the stand-in answers");
    let freeze = async {
        sleep(DELAY / 2).await;
        let agent = &scene.fleet.endpoints[holder].agent.process;
        agent.freeze().expect("a running process");
        scene.client.post(&url, &Faults::default()).await.expect("the stand-in answers");
        sleep(LAPSE).await;
        agent.thaw().expect("a running process");
    };
    let (first, ()) = join!(book(&scene, 0), freeze);
    eprintln!("the frozen holder: {first:?}");
    let runs = scene.runs().await.of("final");
    match &first {
        // It was frozen before it had asked for its claim.
        Outcome::Answer(_) => assert_eq!(runs, 1),
        Outcome::Refused(refusal) => {
            assert_eq!((refusal.ran.as_str(), runs), ("unknown", 0), "{refusal:?}");
        }
        Outcome::Failed(reason) => panic!("{reason}"),
    }
    let again = book(&scene, 1).await;
    assert!(again.answer().is_some(), "{again:?} after {first:?}");
    assert_eq!(scene.runs().await.of("final"), 1);
}

async fn shorten_claims(scene: &Scene) {
    let text = std::fs::read_to_string(crate::scene::sample()).expect("the file");
    let age = format!("[limit]\nclaim_age_s = {}", CLAIM_AGE.as_secs());
    let text = match text.contains("[limit]") {
        true => text.replace("[limit]", &age),
        false => format!("{text}\n{age}\n"),
    };
    let intent = scene.write("short.toml", &text);
    scene.apply(Path::new(&intent)).await;
}

fn book(scene: &Scene, entry: usize) -> impl Future<Output = Outcome> + use<> {
    let (caller, server) = (scene.caller("clerks"), scene.entry(entry));
    async move {
        let body = r#"{"round":"final","society":"Varna"}"#.to_owned();
        let call = Call { service: "registry", path: "/rounds", body, key: Some("k-1") };
        caller.call(server, &call).await
    }
}
