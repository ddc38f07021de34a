//! Processes are killed in the middle of a load.

use fleet::Outcome;
use fleet::endpoint::Kind;
use futures_util::join;

use crate::load::Load;
use crate::scene::LONG;
use crate::scene::Scene;
use crate::verdict::Verdict;

const REQUESTS: usize = 300;
/// Requests after which the process is killed.
const BEFORE: usize = 100;

#[ntex::test]
async fn a_killed_entry_leaves_right_or_truthful_outcomes() {
    let mut scene = Scene::start().await;
    let load = Load::new(&scene, 11, REQUESTS);
    let progress = load.progress();
    let kill = async {
        progress.reach(BEFORE, LONG).await;
        scene.fleet.entries[0].process.kill();
    };
    let (ended, ()) = join!(load.run(), kill);
    let verdict = Verdict::judge(&scene, &ended, Some(0)).await;
    assert!(verdict.faults.is_empty(), "{:#?}", verdict.faults);
    assert!(verdict.lost > 0 && verdict.right > REQUESTS / 2, "{verdict:?}");
}

#[ntex::test]
async fn a_killed_model_agent_leaves_right_or_truthful_outcomes() {
    killed_agent(Kind::Model, 12).await;
}

#[ntex::test]
async fn a_killed_plain_agent_leaves_right_or_truthful_outcomes() {
    killed_agent(Kind::Plain, 13).await;
}

/// Answers that have begun at the killed agent end plainly cut, for another engine
/// would give other words; all other chats are answered.
async fn killed_agent(kind: Kind, seed: u64) {
    let mut scene = Scene::start().await;
    let load = Load::new(&scene, seed, REQUESTS);
    let progress = load.progress();
    scene.slow_registries().await;
    let index = scene.first(kind);
    let kill = async {
        progress.reach(BEFORE, LONG).await;
        scene.until_busy(index).await;
        let before = scene.counts_at(index).await;
        scene.fleet.endpoints[index].agent.process.freeze().expect("a running process");
        let after = scene.counts_at(index).await;
        scene.fleet.endpoints[index].agent.process.kill();
        // All that ran at the first look or was taken in since.
        before.running + before.waiting + (after.accepted - before.accepted) as usize
    };
    let (ended, running) = join!(load.run(), kill);
    let verdict = Verdict::judge(&scene, &ended, None).await;
    assert!(verdict.faults.is_empty(), "{:#?}", verdict.faults);
    let chats = ended.iter().filter(|request| !request.job.is_booking());
    let failed: Vec<_> =
        chats.map(|request| &request.outcome).filter(|chat| chat.answer().is_none()).collect();
    let is_cut = |chat: &&Outcome| matches!(chat, Outcome::Failed(_));
    assert!(failed.iter().all(is_cut) && failed.len() <= running, "{running} ran: {failed:#?}");
}
