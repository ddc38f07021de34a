//! Tests the engine's orders, cache events and transfer of cached prefixes.

#[allow(dead_code)]
mod client;

use std::time::Duration;

use expect_test::expect;
use ntex::http::Method;
use standins::engine;
use standins::engine::Options;
use standins::server::Server;
use standins::weights;

use crate::client::LOOPBACK;
use crate::client::chunk;
use crate::client::get;
use crate::client::post;
use crate::client::send;

const CHAT: &str = "/v1/chat/completions";
const BODY: &str = r#"{"model":"small","messages":[{"role":"user","content":"hello"},{"role":"user","content":"again"}],"max_tokens":1}"#;
/// Part of the answer to `BODY` if its whole prompt is cached.
const BODY_IS_CACHED: &str = r#""cached_tokens":2"#;

/// Starts an engine with a short token gap.
fn engine(options: Options) -> Server {
    let options = Options { token_gap: Duration::from_millis(1), ..options };
    engine::start(LOOPBACK, options).expect("the stand-in starts")
}

/// Starts a weight store that serves one stream at a time.
fn weight_store(bytes_per_second: u64) -> Server {
    let options = weights::Options { bytes: 1000, bytes_per_second, streams: 1 };
    weights::start(LOOPBACK, options).expect("the stand-in starts")
}

/// Returns an order about the model `large`.
fn order(fence: u64, order: &str) -> String {
    format!(r#"{{"fence":{fence},"order":"{order}","model":"large"}}"#)
}

#[ntex::test]
async fn a_stale_fence_is_refused_only_if_checked() {
    for (check_fence, answer) in
        [(false, "202 "), (true, r#"409 {"error":"the fence 1 is lower than 2"}"#)]
    {
        let engine = engine(Options { check_fence, ..Options::default() });
        assert_eq!(post(&engine, "/orders", &order(2, "load")).await, "202 ");
        assert_eq!(post(&engine, "/orders", &order(1, "unload")).await, answer);
    }
}

#[ntex::test]
async fn a_model_is_listed_once_its_weights_are_fetched() {
    let weight_store = weight_store(1_000_000);
    let engine = engine(Options { weights_url: Some(weight_store.url("")), ..Options::default() });
    post(&engine, "/orders", &order(1, "load")).await;
    while !get(&engine, "/v1/models").await.contains("large") {
        ntex::time::sleep(ntex::time::Millis(10)).await;
    }
    assert!(get(&weight_store, "/standin/counts").await.contains(r#""served":1"#));
    post(&engine, "/orders", &order(1, "unload")).await;
    let answer = post(&engine, CHAT, r#"{"model":"large","messages":[]}"#).await;
    assert!(answer.starts_with("404 "), "{answer}");
}

#[ntex::test]
async fn a_model_whose_weights_are_being_fetched_is_not_listed() {
    let weight_store = weight_store(1);
    let engine = engine(Options { weights_url: Some(weight_store.url("")), ..Options::default() });
    post(&engine, "/orders", &order(1, "load")).await;
    while get(&weight_store, "/standin/counts").await.contains(r#""streams":0"#) {
        ntex::time::sleep(ntex::time::Millis(10)).await;
    }
    assert!(!get(&engine, "/v1/models").await.contains("large"));
}

#[ntex::test]
async fn a_cached_prefix_can_be_moved_to_another_engine() {
    let source = engine(Options { kv_bytes_per_token: 3, ..Options::default() });
    let target = engine(Options { kv_bytes_per_token: 3, ..Options::default() });
    let mut events = send(&source, Method::GET, "/cache/events", "").await;
    post(&source, CHAT, BODY).await;
    let stored = chunk(&mut events).await.expect("an event");
    expect![[r#"
        id: 0
        data: {"stored":["3d5054339f7c3e4b","644f53c436e8be72"]}

    "#]]
    .assert_eq(&stored);
    let path = format!("/kv/{}", stored.split('"').nth(3).expect("a hash"));
    let answer = get(&source, &path).await;
    let exported = answer.strip_prefix("200 ").expect("a cache");
    assert!(exported.ends_with("]\n\0\0\0\0\0\0"), "{exported:?}");
    let import = send(&target, Method::PUT, &path, exported).await;
    assert_eq!(import.status().as_u16(), 204);
    let truncated = send(&target, Method::PUT, &path, &exported[..exported.len() - 1]).await;
    assert_eq!(truncated.status().as_u16(), 400);
    let answer = post(&target, CHAT, BODY).await;
    assert!(answer.contains(BODY_IS_CACHED), "{answer}");
}

#[ntex::test]
async fn dropped_events_leave_gaps_in_the_numbers() {
    let engine = engine(Options { event_drop_fraction: 0.5, seed: 1, ..Options::default() });
    let mut events = send(&engine, Method::GET, "/cache/events", "").await;
    for round in 0..8 {
        let body = format!(
            r#"{{"model":"small","messages":[{{"role":"user","content":"{round}"}}],"max_tokens":1}}"#
        );
        post(&engine, CHAT, &body).await;
    }
    let mut ids = Vec::new();
    while ids.len() < 4 {
        let event = chunk(&mut events).await.expect("an event");
        ids.extend(event.lines().filter_map(|line| line.strip_prefix("id: ")?.parse::<u64>().ok()));
    }
    expect!["[0, 1, 5, 7]"].assert_eq(&format!("{ids:?}"));
}
