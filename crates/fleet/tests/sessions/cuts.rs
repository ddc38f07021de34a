//! Interrupted streams resume and end with the complete, correct answer, or end
//! with an error.

use fleet::Chat;
use fleet::Outcome;
use fleet::Stream;
use fleet::endpoint::Kind;
use futures_util::future::join_all;
use futures_util::join;
use standins::engine::Message;

use crate::fixture::Fixture;
use crate::fixture::TIMEOUT;

/// Number of streams in progress when a process is killed.
const STREAM_COUNT: usize = 12;
/// Tokens of each stream. They take several seconds, which is longer than a
/// process takes to start.
const STREAM_TOKENS: u32 = 300;
/// Events of each stream that a caller has read before a process is killed.
const EVENTS_BEFORE_KILL: usize = 10;
/// Number of agents that are killed.
const KILLED_AGENTS: usize = 3;

/// A stream that was begun, and its expected text.
struct ChatStream {
    stream: Stream,
    expected: String,
}

#[ntex::test]
async fn streams_resume_after_a_killed_agent_is_replaced() {
    let mut fixture = Fixture::start().await;
    let caller = fixture.caller("adjudicators");
    let before = accepted_generations(&fixture).await;
    let streams = (0..STREAM_COUNT).map(|number| {
        let (chat, entry) = (chat(number), fixture.entry(number % 2));
        let caller = caller.clone();
        async move { (caller.chat(entry, &chat).await, chat.expected("motion-large")) }
    });
    let streams = join_all(streams.collect::<Vec<_>>());
    let kill = async {
        fixture.wait_for_active(|active| active == STREAM_COUNT).await;
        for endpoint in fixture.fleet.endpoints.iter_mut().take(KILLED_AGENTS) {
            endpoint.agent.process.kill();
        }
        for endpoint in fixture.fleet.endpoints.iter_mut().take(KILLED_AGENTS) {
            endpoint.agent.restart().expect("the replacement listens");
        }
    };
    let (outcomes, ()) = join!(streams, kill);
    for (outcome, expected) in &outcomes {
        let text = outcome.answer().map(|answer| &answer.text);
        assert_eq!(text, Some(expected), "{outcome:?}");
    }
    assert_eq!(
        accepted_generations(&fixture).await - before,
        STREAM_COUNT as u64,
        "each stream starts exactly one generation"
    );
    fixture.wait_for_active(|active| active == 0).await;
}

#[ntex::test]
async fn streams_without_an_error_are_complete_if_engines_cancel_on_disconnect() {
    let mut fixture = Fixture::start_cancelling_on_disconnect().await;
    let streams = begin_streams(&fixture).await;
    for endpoint in fixture.fleet.endpoints.iter_mut().take(KILLED_AGENTS) {
        endpoint.agent.restart().expect("the replacement listens");
    }
    let rests = streams.into_iter().map(|mut stream| async move {
        let end = stream.stream.read_to_end().await;
        (end, stream.stream.text == stream.expected)
    });
    let ends = join_all(rests).await;
    assert!(ends.iter().all(|(end, is_correct)| end.is_ok() == *is_correct), "{ends:?}");
    assert!(ends.iter().any(|(end, _)| end.is_err()), "no stream was interrupted");
}

#[ntex::test]
async fn streams_of_a_killed_entry_resume_through_another_entry() {
    let mut fixture = Fixture::start().await;
    let before = accepted_generations(&fixture).await;
    let mut streams = begin_streams(&fixture).await;
    fixture.fleet.entries[0].process.kill();
    let caller = fixture.caller("adjudicators");
    for stream in &mut streams {
        stream.stream.read_to_end().await.expect_err("the entry is gone");
        let rest = caller.resume(fixture.entry(1), &stream.stream).await;
        stream.stream = rest.unwrap_or_else(|outcome| panic!("{outcome:?}"));
    }
    let rests = streams.iter_mut().map(|stream| stream.stream.read_to_end());
    for rest in join_all(rests).await {
        rest.expect("a complete answer");
    }
    for stream in &streams {
        assert_eq!(stream.stream.text, stream.expected);
    }
    assert_eq!(
        accepted_generations(&fixture).await - before,
        STREAM_COUNT as u64,
        "each stream starts exactly one generation"
    );
}

#[ntex::test]
async fn only_its_own_caller_resumes_a_stream_and_an_expired_stream_is_incomplete() {
    let mut fixture = Fixture::start().await;
    let mut streams = begin_streams(&fixture).await;
    let first = &mut streams[0].stream;
    for account in ["clerks", "archive-team"] {
        let stolen = fixture.caller(account).resume(fixture.entry(1), first).await.err();
        let Some(Outcome::Refused(refusal)) = stolen else { panic!("{stolen:?}") };
        assert_eq!((refusal.status, refusal.ran.as_str()), (404, "unknown"));
    }
    first.read_to_end().await.expect("its own caller can read on");
    let text = first.text.clone();
    assert_eq!(text, streams[0].expected);

    let second = begin_streams(&fixture).await.swap_remove(0).stream;
    fixture.fleet.entries[0].process.kill();
    fixture.wait_for_active(|active| active == 0).await;
    let resumed = fixture.caller("adjudicators").resume(fixture.entry(1), &second).await;
    let is_complete = match resumed {
        Ok(mut rest) => rest.read_to_end().await.is_ok(),
        Err(_) => false,
    };
    assert!(!is_complete, "the generation is cancelled after the grace period");
}

#[ntex::test]
async fn streams_of_killed_engines_end_with_an_error_event() {
    let mut fixture = Fixture::start().await;
    let streams = begin_streams(&fixture).await;
    for endpoint in &mut fixture.fleet.endpoints {
        endpoint.engine.process.kill();
    }
    let rests =
        streams.into_iter().map(|mut stream| async move { stream.stream.read_to_end().await });
    for rest in join_all(rests).await {
        let problem = rest.expect_err("an incomplete answer");
        assert!(problem.contains("urn:lycheeknot:problem:cut"), "{problem}");
    }
}

/// Returns a streamed chat that differs by its number.
fn chat(number: usize) -> Chat {
    let message = Message::new("user", &format!("brief number {number}"));
    Chat::streamed("brief", vec![message], STREAM_TOKENS)
}

/// Begins [`STREAM_COUNT`] streams through the first entry and reads the first
/// events of each.
async fn begin_streams(fixture: &Fixture) -> Vec<ChatStream> {
    let caller = fixture.caller("adjudicators");
    let entry = fixture.entry(0);
    let begin = |number| {
        let (caller, chat) = (caller.clone(), chat(number));
        async move {
            let begun = caller.stream(entry, &chat).await;
            let mut stream = begun.unwrap_or_else(|outcome| panic!("{outcome:?}"));
            for _ in 0..EVENTS_BEFORE_KILL {
                assert!(stream.next().await.expect("an event"));
            }
            ChatStream { stream, expected: chat.expected("motion-large") }
        }
    };
    tokio::time::timeout(TIMEOUT, join_all((0..STREAM_COUNT).map(begin)))
        .await
        .expect("streams begin")
}

/// Returns the number of generations that all model engines have accepted.
async fn accepted_generations(fixture: &Fixture) -> u64 {
    assert!(fixture.fleet.endpoints_of(Kind::Model).count() > 0);
    fixture.engine_counts().await.iter().map(|counts| counts.accepted).sum()
}
