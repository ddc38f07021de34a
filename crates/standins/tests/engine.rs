//! Tests chat completions of the engine: batching, caching, streaming, resuming
//! and cancelling.

#[allow(dead_code)]
mod client;

use std::time::Duration;

use expect_test::expect;
use ntex::http::Method;
use standins::engine;
use standins::engine::Counts;
use standins::engine::Message;
use standins::engine::Options;
use standins::server::Server;

use crate::client::LOOPBACK;
use crate::client::chunk;
use crate::client::get;
use crate::client::open_stream;
use crate::client::post;
use crate::client::send;

const CHAT: &str = "/v1/chat/completions";
const FREEZE: &str = r#"{"freeze":true}"#;

fn engine(options: Options) -> Server {
    engine::start(LOOPBACK, options).expect("the stand-in starts")
}

/// Returns the options of an engine with a short token gap.
fn fast() -> Options {
    Options { token_gap: Duration::from_millis(1), ..Options::default() }
}

/// Returns the options of an engine with one slot that generates no token within
/// the time of a test.
fn stalled() -> Options {
    Options { token_gap: Duration::from_secs(1000), slots: 1, ..Options::default() }
}

async fn counts(server: &Server) -> Counts {
    let answer = get(server, "/standin/counts").await;
    serde_json::from_str(answer.strip_prefix("200 ").expect("counts")).expect("counts")
}

/// Sends a request and returns its whole streamed body without the `created`
/// fields.
async fn read_events(server: &Server, method: Method, path: &str, body: &str) -> String {
    let mut response = send(server, method, path, body).await;
    let mut events = String::new();
    while let Some(chunk) = chunk(&mut response).await {
        events.push_str(&chunk);
    }
    without_created(&events)
}

/// Removes all `created` fields, whose values differ from run to run.
fn without_created(text: &str) -> String {
    let mut parts = text.split(r#""created":"#);
    let mut joined = parts.next().expect("a first part").to_owned();
    for part in parts {
        let (_, part) = part.split_once(',').expect("more fields");
        joined.push_str(part);
    }
    joined
}

#[ntex::test]
async fn an_answer_depends_only_on_its_request() {
    let server = engine(fast());
    let body = r#"{"model":"small","messages":[{"role":"user","content":"the very first motion"}],"max_tokens":3}"#;
    expect![[r#"200 {"id":"chatcmpl-1","object":"chat.completion","model":"small","choices":[{"index":0,"message":{"role":"assistant","content":"1ccaca22 b7d2c52c 0a9d4945 "},"finish_reason":"length"}],"usage":{"prompt_tokens":5,"completion_tokens":3,"total_tokens":8,"prompt_tokens_details":{"cached_tokens":0}}}"#]]
        .assert_eq(&without_created(&post(&server, CHAT, body).await));
    let again = post(&server, CHAT, body).await;
    let expected = engine::answer("small", &[Message::new("user", "the very first motion")], 3);
    assert!(again.contains(&expected.concat()), "{again}");
    assert!(again.contains(r#""cached_tokens":5"#), "{again}");
    expect!["404 {\"error\":{\"message\":\"the model `big` isn't loaded\",\"type\":\"invalid_request_error\",\"code\":404}}"]
        .assert_eq(&post(&server, CHAT, r#"{"model":"big","messages":[]}"#).await);
}

#[ntex::test]
async fn a_stream_can_be_resumed() {
    let server = engine(fast());
    let body = r#"{"model":"small","messages":[{"role":"user","content":"hello"}],"max_tokens":2,"stream":true,"stream_options":{"include_usage":true}}"#;
    let whole = read_events(&server, Method::POST, CHAT, body).await;
    expect![[r#"
        id: 0
        data: {"id":"chatcmpl-1","object":"chat.completion.chunk","model":"small","choices":[{"index":0,"delta":{"role":"assistant","content":"d6acd036 "},"finish_reason":null}]}

        id: 1
        data: {"id":"chatcmpl-1","object":"chat.completion.chunk","model":"small","choices":[{"index":0,"delta":{"content":"36478f50 "},"finish_reason":"length"}]}

        id: 2
        data: {"id":"chatcmpl-1","object":"chat.completion.chunk","model":"small","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2,"total_tokens":3,"prompt_tokens_details":{"cached_tokens":0}}}

        data: [DONE]

    "#]].assert_eq(&whole);
    let resumed = "/v1/chat/completions/chatcmpl-1?stream=true&starting_after=0";
    let resumed = read_events(&server, Method::GET, resumed, "").await;
    assert!(whole.ends_with(&resumed));
    assert!(resumed.starts_with("id: 1\n"));
}

#[ntex::test]
async fn a_cancelled_generation_frees_its_slot() {
    let server = engine(stalled());
    let body = r#"{"model":"small","messages":[],"stream":true}"#;
    let mut first = send(&server, Method::POST, CHAT, body).await;
    let _second = send(&server, Method::POST, CHAT, body).await;
    let before = counts(&server).await;
    assert_eq!((before.running, before.waiting), (1, 1));
    post(&server, "/v1/chat/completions/chatcmpl-1/cancel", "").await;
    let after = counts(&server).await;
    assert_eq!((after.running, after.waiting, after.cancelled), (1, 0, 1));
    expect![[r#"
        id: 0
        data: {"id":"chatcmpl-1","object":"chat.completion.chunk","model":"small","choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":"abort"}]}

    "#]].assert_eq(&without_created(&chunk(&mut first).await.unwrap()));
}

#[ntex::test]
async fn urgent_requests_run_first() {
    for preempt in [false, true] {
        let server = engine(Options { preempt, slots: 1, ..fast() });
        let _running = send(&server, Method::POST, CHAT, &request_with_priority(5, 100_000)).await;
        let _waiting = send(&server, Method::POST, CHAT, &request_with_priority(5, 100_000)).await;
        let mut urgent = send(&server, Method::POST, CHAT, &request_with_priority(0, 1)).await;
        if !preempt {
            post(&server, "/v1/chat/completions/chatcmpl-1/cancel", "").await;
        }
        assert!(chunk(&mut urgent).await.unwrap().contains("length"));
        assert_eq!(chunk(&mut urgent).await.unwrap(), "data: [DONE]\n\n");
        let counts = counts(&server).await;
        assert_eq!((counts.finished, counts.running, counts.max_running), (1, 1, 1));
        assert_eq!(counts.waiting, usize::from(preempt));
    }
}

/// Returns a streaming request with a priority and a number of tokens.
fn request_with_priority(priority: i64, max_tokens: u32) -> String {
    format!(
        r#"{{"model":"small","messages":[],"stream":true,"priority":{priority},"max_tokens":{max_tokens}}}"#
    )
}

#[ntex::test]
async fn metrics_show_the_load() {
    let server = engine(stalled());
    let _running = send(
        &server,
        Method::POST,
        CHAT,
        r#"{"model":"small","messages":[{"role":"user","content":"a"}],"stream":true}"#,
    )
    .await;
    while get(&server, "/metrics").await.contains("perc 0\n") {
        ntex::time::sleep(ntex::time::Millis(10)).await;
    }
    expect![[r#"
        200 # TYPE vllm:num_requests_running gauge
        vllm:num_requests_running 1
        # TYPE vllm:num_requests_waiting gauge
        vllm:num_requests_waiting 0
        # TYPE vllm:kv_cache_usage_perc gauge
        vllm:kv_cache_usage_perc 0.00001
        # TYPE vllm:prefix_cache_queries_total counter
        vllm:prefix_cache_queries_total 1
        # TYPE vllm:prefix_cache_hits_total counter
        vllm:prefix_cache_hits_total 0
    "#]]
    .assert_eq(&get(&server, "/metrics").await);
}

#[ntex::test]
async fn a_disconnect_cancels_only_if_configured() {
    for (cancel_on_disconnect, cancelled) in [(false, 0), (true, 1)] {
        let server = engine(Options { cancel_on_disconnect, ..stalled() });
        let body = r#"{"model":"small","messages":[],"stream":true}"#;
        drop(open_stream(&server, CHAT, body));
        ntex::time::sleep(ntex::time::Millis(100)).await;
        while cancel_on_disconnect && counts(&server).await.cancelled == 0 {
            ntex::time::sleep(ntex::time::Millis(10)).await;
        }
        assert_eq!(counts(&server).await.cancelled, cancelled);
    }
}

#[ntex::test]
async fn a_frozen_engine_answers_nothing() {
    let server = engine(fast());
    post(&server, "/standin/faults", FREEZE).await;
    let health = ntex::time::timeout(ntex::time::Millis(100), get(&server, "/health")).await;
    assert!(health.is_err());
    post(&server, "/standin/faults", "{}").await;
    expect!["200 "].assert_eq(&get(&server, "/health").await);
}
