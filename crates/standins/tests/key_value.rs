//! Tests the protocol and the fault injection of the key-value service.

#[allow(dead_code)]
mod client;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use expect_test::expect;
use ntex::http::Method;
use standins::key_value;
use standins::key_value::Options;
use standins::server::Server;

use crate::client::LOOPBACK;
use crate::client::get;
use crate::client::post;
use crate::client::send;

/// A transaction that writes the key `x/a`; `MQ==` is `1` in base64.
const PUT_A: &str = r#"{"puts":[{"key":"x/a","value":"MQ=="}]}"#;
/// A watch that waits longer than a test takes.
const WATCH: &str = "/kv-watch?prefix=x%2F&after=1&wait_ms=20000";

fn key_value(options: Options) -> Server {
    key_value::start(LOOPBACK, options).expect("the stand-in starts")
}

#[ntex::test]
async fn keys_are_written_read_and_listed_in_pages() {
    let server = key_value(Options::default());
    expect![[r#"200 {"revision":2}"#]].assert_eq(&post(&server, "/kv-txn", PUT_A).await);
    expect![[
        r#"200 {"key":"x/a","value":"MQ==","revision":2,"create_revision":2,"lease":0,"as_of":2}"#
    ]]
    .assert_eq(&get(&server, "/kv-key?key=x/a").await);
    expect![[r#"404 {"error":"no such key"}"#]].assert_eq(&get(&server, "/kv-key?key=x/b").await);
    let many: Vec<String> =
        (0..30).map(|key| format!(r#"{{"key":"y/{key:03}","value":"MQ=="}}"#)).collect();
    for group in 0..20 {
        let puts = many.join(",").replace("y/", &format!("y/{group:02}/"));
        post(&server, "/kv-txn", &format!(r#"{{"puts":[{puts}]}}"#)).await;
    }
    let first = get(&server, "/kv-range?prefix=y/").await;
    assert!(first.ends_with(r#""truncated":true,"as_of":22}"#), "{}", &first[first.len() - 60..]);
    assert_eq!(first.matches("\"key\"").count(), 500);
    let rest = get(&server, "/kv-range?prefix=y/&after=y/16/019").await;
    assert!(rest.ends_with(r#""truncated":false,"as_of":22}"#), "{}", &rest[rest.len() - 60..]);
    assert_eq!(rest.matches("\"key\"").count(), 100);
}

#[ntex::test]
async fn a_transaction_is_all_or_nothing() {
    let server = key_value(Options::default());
    let create = r#"{"expect_rev":[{"key":"x/a","revision":0}],"puts":[{"key":"x/a","value":"MQ=="}],"delete":["x/b"]}"#;
    expect![[r#"200 {"revision":2}"#]].assert_eq(&post(&server, "/kv-txn", create).await);
    expect![[r#"412 {"error":"a condition does not hold","entries":[{"key":"x/a","value":"MQ==","revision":2,"create_revision":2,"lease":0}]}"#]]
        .assert_eq(&post(&server, "/kv-txn", create).await);
    let delete = r#"{"expect_rev":[{"key":"x/a","revision":2}],"delete":["x/a"]}"#;
    expect![[r#"200 {"revision":3}"#]].assert_eq(&post(&server, "/kv-txn", delete).await);
    expect![[r#"404 {"error":"no such lease"}"#]].assert_eq(
        &post(&server, "/kv-txn", r#"{"puts":[{"key":"a","value":"MQ==","lease":9}]}"#).await,
    );
    let malformed = post(&server, "/kv-txn", r#"{"puts":[{"key":"a","value":"1"}]}"#).await;
    assert!(malformed.starts_with("400 "), "{malformed}");
}

#[ntex::test]
async fn a_watch_waits_and_reports_compacted_history() {
    let server = key_value(Options::default());
    expect![[r#"200 {"events":[],"as_of":1}"#]]
        .assert_eq(&get(&server, "/kv-watch?prefix=x/&after=1&wait_ms=20").await);
    let mut waiting = std::pin::pin!(get(&server, WATCH));
    let early = ntex::time::timeout(ntex::time::Millis(50), waiting.as_mut()).await;
    assert!(early.is_err());
    post(&server, "/kv-txn", PUT_A).await;
    expect![[r#"200 {"events":[{"key":"x/a","value":"MQ==","revision":2,"create_revision":2,"lease":0}],"as_of":2}"#]]
        .assert_eq(&waiting.await);
    post(&server, "/kv-txn", r#"{"delete":["x/a"]}"#).await;
    expect![[r#"200 {"events":[{"key":"x/a","revision":3,"removed":true}],"as_of":3}"#]]
        .assert_eq(&get(&server, "/kv-watch?prefix=x/&after=2&wait_ms=20000").await);
    post(&server, "/standin/compact", "").await;
    expect![[r#"410 {"error":"the history asked for is gone"}"#]]
        .assert_eq(&get(&server, WATCH).await);
}

#[ntex::test]
async fn ending_a_lease_removes_its_keys() {
    let server = key_value(Options::default());
    expect![[r#"200 {"lease":1,"ttl_ms":60000}"#]]
        .assert_eq(&post(&server, "/kv-lease", r#"{"ttl_ms":60000}"#).await);
    post(&server, "/kv-txn", r#"{"puts":[{"key":"x/a","value":"MQ==","lease":1}]}"#).await;
    expect![[r#"200 {"ttl_ms":60000}"#]].assert_eq(&post(&server, "/kv-keep/1", "").await);
    send(&server, Method::DELETE, "/kv-lease-end/1", "").await;
    expect![[r#"200 {"entries":[],"truncated":false,"as_of":3}"#]]
        .assert_eq(&get(&server, "/kv-range?prefix=x/").await);
    expect![[r#"404 {"error":"no such lease"}"#]].assert_eq(&post(&server, "/kv-keep/1", "").await);
}

#[ntex::test]
async fn the_expiry_of_a_lease_reaches_watches() {
    let server = key_value(Options::default());
    post(&server, "/kv-lease", r#"{"ttl_ms":100}"#).await;
    post(&server, "/kv-txn", r#"{"puts":[{"key":"x/a","value":"MQ==","lease":1}]}"#).await;
    expect![[r#"200 {"events":[{"key":"x/a","revision":3,"removed":true}],"as_of":3}"#]]
        .assert_eq(&get(&server, "/kv-watch?prefix=x/&after=2&wait_ms=20000").await);
}

#[ntex::test]
async fn a_write_takes_effect_although_its_answer_is_lost() {
    let server = key_value(Options::default());
    post(&server, "/standin/faults", r#"{"lose_answers":1}"#).await;
    let mut connection = TcpStream::connect(server.addr()).expect("a connection");
    let length = PUT_A.len();
    let head =
        format!("POST /kv-txn HTTP/1.1\r\nhost: standin\r\ncontent-length: {length}\r\n\r\n");
    connection.write_all(format!("{head}{PUT_A}").as_bytes()).expect("a request");
    let mut answer = Vec::new();
    let _ = connection.read_to_end(&mut answer);
    assert!(answer.is_empty(), "{}", String::from_utf8_lossy(&answer));
    while get(&server, "/kv-key?key=x/a").await.starts_with("404") {
        ntex::time::sleep(ntex::time::Millis(10)).await;
    }
}

#[ntex::test]
async fn rate_limits_restores_and_outages_take_effect() {
    let server = key_value(Options { writes_per_second: 1, ..Options::default() });
    let mut answers = Vec::new();
    for _ in 0..20 {
        answers.push(post(&server, "/kv-txn", PUT_A).await);
    }
    let limited = answers.iter().find(|answer| !answer.starts_with("200")).unwrap();
    expect![[r#"429 {"error":"too many calls"}"#]].assert_eq(limited);
    post(&server, "/standin/restore", r#"{"revision":1}"#).await;
    expect![[r#"200 {"entries":[],"truncated":false,"as_of":1}"#]]
        .assert_eq(&get(&server, "/kv-range?prefix=x/").await);
    post(&server, "/standin/faults", r#"{"outage":true}"#).await;
    expect![[r#"503 {"error":"the service is away"}"#]]
        .assert_eq(&get(&server, "/kv-range?prefix=x/").await);
    assert!(get(&server, "/standin/counts").await.contains(r#""reads":1"#));
}

#[ntex::test]
async fn a_dropped_watch_is_no_longer_counted() {
    let server = key_value(Options::default());
    let mut waiting = Box::pin(get(&server, WATCH));
    let early = ntex::time::timeout(ntex::time::Millis(50), waiting.as_mut()).await;
    assert!(early.is_err());
    drop(waiting);
    while !get(&server, "/standin/counts").await.contains(r#""watches_open":0,"watches_opened":1"#)
    {
        ntex::time::sleep(ntex::time::Millis(10)).await;
    }
}
