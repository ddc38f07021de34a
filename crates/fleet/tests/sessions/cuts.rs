//! Streams that are cut go on to their whole, right answer, or say that they can't.

use fleet::Chat;
use fleet::Outcome;
use fleet::Stream;
use fleet::endpoint::Kind;
use futures_util::future::join_all;
use futures_util::join;
use standins::engine::Message;

use crate::scene::LONG;
use crate::scene::Scene;

/// Streams under way when a process is killed.
const STREAMS: usize = 12;
/// Tokens of each, some seconds: more than a process takes to start.
const TOKENS: u32 = 300;
/// Events that a caller has before its entry is killed.
const BEFORE: usize = 10;
/// Agents that are killed.
const KILLED: usize = 3;

/// A stream and the answer that it has to give.
struct Asked {
    reading: Stream,
    expected: String,
}

#[ntex::test]
async fn the_streams_of_a_killed_agent_go_on_once_it_is_replaced() {
    let mut scene = Scene::start().await;
    let caller = scene.caller("adjudicators");
    let before = accepted(&scene).await;
    let streams = (0..STREAMS).map(|number| {
        let (chat, entry) = (chat(number), scene.entry(number % 2));
        let caller = caller.clone();
        async move { (caller.chat(entry, &chat).await, chat.expected("motion-large")) }
    });
    let streams = join_all(streams.collect::<Vec<_>>());
    let kill = async {
        scene.until_running(|running| running == STREAMS).await;
        for endpoint in scene.fleet.endpoints.iter_mut().take(KILLED) {
            endpoint.agent.process.kill();
        }
        for endpoint in scene.fleet.endpoints.iter_mut().take(KILLED) {
            endpoint.agent.restart().expect("the replacement listens");
        }
    };
    let (outcomes, ()) = join!(streams, kill);
    for (outcome, expected) in &outcomes {
        let text = outcome.answer().map(|answer| &answer.text);
        assert_eq!(text, Some(expected), "{outcome:?}");
    }
    assert_eq!(accepted(&scene).await - before, STREAMS as u64, "no answer was begun twice");
    scene.until_running(|running| running == 0).await;
}

#[ntex::test]
async fn the_streams_of_a_killed_agent_are_never_short_where_engines_forget_them() {
    let mut scene = Scene::start_forgetful().await;
    let streams = begin(&scene).await;
    for endpoint in scene.fleet.endpoints.iter_mut().take(KILLED) {
        endpoint.agent.restart().expect("the replacement listens");
    }
    let rests = streams.into_iter().map(|mut asked| async move {
        let end = asked.reading.read_to_end().await;
        (end, asked.reading.text == asked.expected)
    });
    let ends = join_all(rests).await;
    assert!(ends.iter().all(|(end, is_right)| end.is_ok() == *is_right), "{ends:?}");
    assert!(ends.iter().any(|(end, _)| end.is_err()), "no stream was cut");
}

#[ntex::test]
async fn the_streams_of_a_killed_entry_go_on_through_another_one() {
    let mut scene = Scene::start().await;
    let before = accepted(&scene).await;
    let mut streams = begin(&scene).await;
    scene.fleet.entries[0].process.kill();
    let caller = scene.caller("adjudicators");
    for asked in &mut streams {
        asked.reading.read_to_end().await.expect_err("the entry is gone");
        let rest = caller.resume(scene.entry(1), &asked.reading).await;
        asked.reading = rest.unwrap_or_else(|outcome| panic!("{outcome:?}"));
    }
    let rests = streams.iter_mut().map(|asked| asked.reading.read_to_end());
    for rest in join_all(rests).await {
        rest.expect("a whole answer");
    }
    for asked in &streams {
        assert_eq!(asked.reading.text, asked.expected);
    }
    assert_eq!(accepted(&scene).await - before, STREAMS as u64, "no answer was begun twice");
}

#[ntex::test]
async fn nobody_else_goes_on_with_a_stream_and_an_expired_one_is_not_whole() {
    let mut scene = Scene::start().await;
    let mut streams = begin(&scene).await;
    let first = &mut streams[0].reading;
    for account in ["clerks", "archive-team"] {
        let stolen = scene.caller(account).resume(scene.entry(1), first).await.err();
        let Some(Outcome::Refused(refusal)) = stolen else { panic!("{stolen:?}") };
        assert_eq!((refusal.status, refusal.ran.as_str()), (404, "unknown"));
    }
    first.read_to_end().await.expect("its own caller reads on");
    let text = first.text.clone();
    assert_eq!(text, streams[0].expected);

    let second = begin(&scene).await.swap_remove(0).reading;
    scene.fleet.entries[0].process.kill();
    scene.until_running(|running| running == 0).await;
    let late = scene.caller("adjudicators").resume(scene.entry(1), &second).await;
    let whole = match late {
        Ok(mut rest) => rest.read_to_end().await.is_ok(),
        Err(_) => false,
    };
    assert!(!whole, "the work was ended after the grace");
}

#[ntex::test]
async fn the_streams_of_a_lost_engine_end_with_an_error_event() {
    let mut scene = Scene::start().await;
    let streams = begin(&scene).await;
    for endpoint in &mut scene.fleet.endpoints {
        endpoint.engine.process.kill();
    }
    let rests =
        streams.into_iter().map(|mut asked| async move { asked.reading.read_to_end().await });
    for rest in join_all(rests).await {
        let problem = rest.expect_err("not whole");
        assert!(problem.contains("urn:lycheeknot:problem:cut"), "{problem}");
    }
}

fn chat(number: usize) -> Chat {
    let message = Message::new("user", &format!("brief number {number}"));
    Chat::streamed("brief", vec![message], TOKENS)
}

/// Begins streams through the first entry and reads a part of each.
async fn begin(scene: &Scene) -> Vec<Asked> {
    let caller = scene.caller("adjudicators");
    let entry = scene.entry(0);
    let begin = |number| {
        let (caller, chat) = (caller.clone(), chat(number));
        async move {
            let begun = caller.stream(entry, &chat).await;
            let mut reading = begun.unwrap_or_else(|outcome| panic!("{outcome:?}"));
            for _ in 0..BEFORE {
                assert!(reading.next().await.expect("an event"));
            }
            Asked { reading, expected: chat.expected("motion-large") }
        }
    };
    tokio::time::timeout(LONG, join_all((0..STREAMS).map(begin))).await.expect("streams begin")
}

/// Generations that model engines began.
async fn accepted(scene: &Scene) -> u64 {
    assert!(scene.fleet.endpoints_of(Kind::Model).count() > 0);
    scene.engines().await.iter().map(|counts| counts.accepted).sum()
}
