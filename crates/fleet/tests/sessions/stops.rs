//! A graceful stop interrupts no stream, and a caller that disconnects frees the
//! slot of its request.

use fleet::Chat;
use fleet::Outcome;
use fleet::endpoint::Kind;
use fleet::http::Client;
use futures_util::future::join_all;
use futures_util::join;
use ntex::http::Method;
use standins::engine::Message;

use crate::fixture::Fixture;
use crate::fixture::TIMEOUT;

/// Number of streams in progress when a process is stopped.
const STREAM_COUNT: usize = 12;
/// Tokens of each stream, which take about a second.
const STREAM_TOKENS: u32 = 100;

#[ntex::test]
async fn stopping_an_entry_interrupts_no_stream() {
    let mut fixture = Fixture::start().await;
    let streams = streams(&fixture, &[0]);
    let stop = async {
        fixture.wait_for_active(|active| active == STREAM_COUNT).await;
        fixture.fleet.entries[0].process.terminate().expect("a running process");
    };
    let (outcomes, ()) = join!(streams, stop);
    check(&outcomes);
    assert!(fixture.fleet.entries[0].process.wait(TIMEOUT), "the entry exits by itself");
}

#[ntex::test]
async fn stopping_agents_interrupts_no_stream() {
    let mut fixture = Fixture::start().await;
    let streams = streams(&fixture, &[0, 1]);
    let stop = async {
        fixture.wait_for_active(|active| active == STREAM_COUNT).await;
        for endpoint in fixture.fleet.endpoints_of(Kind::Model).take(3) {
            endpoint.agent.process.terminate().expect("a running process");
        }
    };
    let (outcomes, ()) = join!(streams, stop);
    check(&outcomes);
    for endpoint in fixture.fleet.endpoints.iter_mut().take(3) {
        assert!(endpoint.agent.process.wait(TIMEOUT), "the agent exits by itself");
    }
}

#[ntex::test]
async fn a_caller_that_disconnects_frees_the_slot() {
    let fixture = Fixture::start().await;
    let chat = Chat::streamed("brief", vec![Message::new("user", "a long brief")], 1000);
    let body = serde_json::to_string(&chat).expect("JSON");
    let url = fixture.fleet.entries[0].data_url("/v1/chat/completions");
    let client = Client::new().await.expect("a client");
    let request = client.request(Method::POST, &url).content_type("application/json");
    let token = fleet::caller::token("adjudicators");
    let response = request.bearer_auth(token).send_body(body).await.expect("an answer");
    fixture.wait_for_active(|active| active == 1).await;
    drop(response);
    fixture.wait_for_active(|active| active == 0).await;
    let cancelled: u64 = fixture.engine_counts().await.iter().map(|counts| counts.cancelled).sum();
    assert_eq!(cancelled, 1);
}

/// Sends streamed chats round robin through entries and returns each outcome with
/// the expected text.
fn streams(
    fixture: &Fixture,
    entries: &[usize],
) -> impl Future<Output = Vec<(Outcome, String)>> + use<> {
    let caller = fixture.caller("adjudicators");
    let stream = |number: usize| {
        let entry = fixture.entry(entries[number % entries.len()]);
        let caller = caller.clone();
        let message = Message::new("user", &format!("brief number {number}"));
        let chat = Chat::streamed("brief", vec![message], STREAM_TOKENS);
        async move { (caller.chat(entry, &chat).await, chat.expected("motion-large")) }
    };
    let streams: Vec<_> = (0..STREAM_COUNT).map(stream).collect();
    join_all(streams)
}

/// Checks that every outcome is the expected answer.
fn check(outcomes: &[(Outcome, String)]) {
    for (outcome, expected) in outcomes {
        let text = outcome.answer().map(|answer| &answer.text);
        assert_eq!(text, Some(expected), "{outcome:?}");
    }
}
