//! Tests of the responses of the admin server's handlers.

use expect_test::Expect;
use expect_test::expect;
use ntex::web::App;
use ntex::web::test;
use ntex::web::test::TestRequest;

use telemetry::Readiness;
use telemetry::Reason;
use telemetry::admin;
use telemetry::admin::Source;
use telemetry::metrics::Recorder;

async fn check(source: Source, path: &str, expected: Expect) {
    let app = App::new().configure(|config| admin::configure(config, source));
    let service = test::init_service(app).await;
    let response = test::call_service(&service, TestRequest::with_uri(path).to_request()).await;
    let status = response.status();
    let body = test::read_body(response).await;
    expected.assert_eq(&format!("{status}\n{}", String::from_utf8_lossy(&body)));
}

fn source(reasons: &[Reason]) -> Source {
    let (recorder, _sink) = Recorder::local();
    Source { recorder, readiness: Readiness::new(reasons) }
}

#[ntex::test]
async fn a_running_process_is_healthy() {
    check(
        source(&[Reason::Starting]),
        "/healthz",
        expect![[r#"
        200 OK
        ok
    "#]],
    )
    .await;
}

#[ntex::test]
async fn readiness_lists_the_reasons_until_all_are_removed() {
    let source = source(&[Reason::Lease, Reason::Starting, Reason::Lease]);
    source.readiness.block(Reason::Engine);
    check(source.clone(), "/readyz", expect![[r#"
        503 Service Unavailable
        {"ready":false,"reasons":["the process is starting; wait until it listens","the membership lease is not held; check that the key-value service answers","the engine does not answer; check engine.address and the engine"]}"#]]).await;

    source.readiness.unblock(Reason::Starting);
    source.readiness.unblock(Reason::Lease);
    assert!(!source.readiness.is_ready());
    source.readiness.unblock(Reason::Engine);
    check(
        source,
        "/readyz",
        expect![[r#"
        200 OK
        {"ready":true,"reasons":[]}"#]],
    )
    .await;
}

#[ntex::test]
async fn metrics_are_rendered_with_buckets() {
    let (recorder, sink) = Recorder::local();
    metrics::with_local_recorder(&sink, || {
        metrics::counter!("attempts_total", "outcome" => "answered").increment(3);
        metrics::histogram!("first_token_seconds").record(0.3);
    });
    let source = Source { recorder, readiness: Readiness::new(&[]) };
    check(
        source,
        "/metrics",
        expect![[r#"
        200 OK
        # TYPE attempts_total counter
        attempts_total{outcome="answered"} 3

        # TYPE first_token_seconds histogram
        first_token_seconds_bucket{le="0.001"} 0
        first_token_seconds_bucket{le="0.002"} 0
        first_token_seconds_bucket{le="0.005"} 0
        first_token_seconds_bucket{le="0.01"} 0
        first_token_seconds_bucket{le="0.02"} 0
        first_token_seconds_bucket{le="0.05"} 0
        first_token_seconds_bucket{le="0.071"} 0
        first_token_seconds_bucket{le="0.1"} 0
        first_token_seconds_bucket{le="0.2"} 0
        first_token_seconds_bucket{le="0.37"} 1
        first_token_seconds_bucket{le="0.5"} 1
        first_token_seconds_bucket{le="1"} 1
        first_token_seconds_bucket{le="2"} 1
        first_token_seconds_bucket{le="5"} 1
        first_token_seconds_bucket{le="10"} 1
        first_token_seconds_bucket{le="30"} 1
        first_token_seconds_bucket{le="60"} 1
        first_token_seconds_bucket{le="+Inf"} 1
        first_token_seconds_sum 0.3
        first_token_seconds_count 1

    "#]],
    )
    .await;
}

#[ntex::test]
async fn other_paths_are_not_found() {
    check(
        source(&[]),
        "/secrets",
        expect![[r#"
        404 Not Found
    "#]],
    )
    .await;
}

#[ntex::test]
async fn waiting_for_a_server_that_never_stops_ends() {
    admin::await_stop(std::future::pending()).await;
}
