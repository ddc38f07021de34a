//! Tests that the registry counts its runs, also when an answer is lost.

#[allow(dead_code)]
mod client;

use expect_test::expect;
use ntex::client::Client;
use standins::registry;
use standins::registry::Options;
use standins::server::Server;

use crate::client::LOOPBACK;
use crate::client::get;
use crate::client::post;

fn registry() -> Server {
    registry::start(LOOPBACK, Options::default()).expect("the stand-in starts")
}

#[ntex::test]
async fn counts_repeated_runs() {
    let registry = registry();
    let booking = r#"{"round":"r1","society":"Plovdiv"}"#;
    post(&registry, "/rounds", booking).await;
    expect![[r#"200 {"key":"r1","run":2}"#]].assert_eq(&post(&registry, "/rounds", booking).await);
    post(&registry, "/charges", r#"{"order":"o1","account":"shop-1"}"#).await;
    expect![[r#"200 {"runs":{"o1":1,"r1":2},"total":3,"doubled":1}"#]]
        .assert_eq(&get(&registry, "/standin/counts").await);
    expect!["404 "].assert_eq(&get(&registry, "/rounds/r2").await);
}

#[ntex::test]
async fn a_call_runs_although_its_answer_is_lost() {
    let registry = registry();
    post(&registry, "/standin/faults", r#"{"lose_answers":1}"#).await;
    let request = Client::new().await.post(registry.url("/rounds"));
    let answer = request.send_body(r#"{"round":"r1","society":"Varna"}"#).await;
    assert!(answer.is_err(), "the connection closes without an answer");
    expect![[r#"200 {"key":"r1","run":1}"#]].assert_eq(&get(&registry, "/rounds/r1").await);
}
