//! Golden tests of calls that must not run twice.

use expect_test::expect;
use fleet::endpoint::Kind;
use ntex::http::Method;
use standins::registry::Faults;

use crate::fixture::Fixture;
use crate::transcript;

#[ntex::test]
async fn a_repeated_idempotency_key_returns_the_stored_answer() {
    let fixture = Fixture::start().await;
    expect![[r#"
        200
        content-type: application/json

        {"key":"final","run":1}"#]]
    .assert_eq(&book(&fixture, 0, "clerks", "k-1", "final").await);
    expect![[r#"
        200
        content-type: application/json
        idempotency-replayed: true

        {"key":"final","run":1}"#]]
    .assert_eq(&book(&fixture, 1, "clerks", "k-1", "final").await);
    expect![[r#"
        422
        content-type: application/problem+json

        {"type":"urn:lycheeknot:problem:conflict","title":"The Idempotency-Key was used with another body","status":422,"detail":"Use a new key for a new call.","ran":"no"}"#]].assert_eq(&book(&fixture, 1, "clerks", "k-1", "semifinal").await);
    let runs = fixture.runs().await;
    assert_eq!((runs.count("final"), runs.count("semifinal")), (1, 0));
    expect![[r#"
        200
        content-type: application/json

        {"key":"semifinal","run":1}"#]]
    .assert_eq(&book(&fixture, 1, "adjudicators", "k-1", "semifinal").await);
    let runs = fixture.runs().await;
    assert_eq!((runs.count("final"), runs.count("semifinal")), (1, 1));
}

#[ntex::test]
async fn a_booking_whose_answer_was_lost_does_not_run_again() {
    let fixture = Fixture::start().await;
    for endpoint in fixture.fleet.endpoints_of(Kind::Plain) {
        let faults = Faults { lose_answers: 1, ..Faults::default() };
        fixture
            .client
            .post(&endpoint.engine.url("/standin/faults"), &faults)
            .await
            .expect("the stand-in answers");
    }
    expect![[r#"
        502
        content-type: application/problem+json
        retry-after: 1

        {"type":"urn:lycheeknot:problem:engine","title":"The engine can't be reached or broke off","status":502,"detail":"Ask again.","ran":"unknown","retry_after":1}"#]].assert_eq(&book(&fixture, 0, "clerks", "k-1", "final").await);
    expect![[r#"
        409
        content-type: application/problem+json
        retry-after: 1

        {"type":"urn:lycheeknot:problem:started","title":"A call with this Idempotency-Key was started before","status":409,"detail":"Its outcome isn't known: look the result up before you use a new key.","ran":"unknown","retry_after":1}"#]].assert_eq(&book(&fixture, 1, "clerks", "k-1", "final").await);
    assert_eq!(fixture.runs().await.count("final"), 1);
}

/// Books a round through an entry and returns the transcript of the response.
async fn book(fixture: &Fixture, entry: usize, account: &str, key: &str, round: &str) -> String {
    let url = fixture.fleet.entries[entry].data_url("/services/registry/rounds");
    let request = fixture.client.request(Method::POST, &url).content_type("application/json");
    let request = request.bearer_auth(fleet::caller::token(account));
    let body = format!(r#"{{"round":"{round}","society":"Varna"}}"#);
    let request = request.set_header("idempotency-key", key);
    transcript::response(&request.send_body(body).await.expect("an answer")).await
}
