//! Calls between gateways on loopback: what is refused, and how long calls wait.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use policy::exchange::Report;
use policy::exchange::Sheet;
use rpc::Error;
use rpc::view::Answer;
use rpc::view::Client;
use rpc::view::Cursor;
use rpc::view::Delta;
use rpc::view::Loads;
use rpc::view::Source;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time limit for answers of the called process.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait that a called process accepts.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Answers reports of `valid` alone, and waits as long as it may for changes.
struct Script;

impl Source for Script {
    fn newer(&self, _: &[Cursor]) -> Answer {
        Answer::default()
    }

    fn changes(&self, after: Cursor, wait: Duration) -> BoxFuture<'_, Delta> {
        async move {
            sleep(wait).await;
            if after.version == 0 { Delta::Unknown } else { Delta::Lost }
        }
        .boxed()
    }

    fn report(&self, report: Report) -> Option<Loads> {
        if report.vm == "unsorted" {
            return Some(Loads { sheet: unsorted(), gateways: 1 });
        }
        (report.vm == "valid").then_some(Loads { sheet: report.own, gateways: 3 })
    }

    fn swap(&self, report: Report) -> Option<Report> {
        (report.vm == "valid").then_some(report)
    }
}

/// Returns a sheet whose rows are not in order, as only a broken peer sends it.
fn unsorted() -> Sheet {
    let rows: Vec<(u32, u32)> = vec![(9, 1), (3, 1)];
    let sheet = serde_json::json!({ "rows": rows });
    serde_json::from_value(sheet).expect("a sheet")
}

fn report(vm: &str, rows: u32) -> Report {
    let mut own = Sheet::default();
    (0..rows).for_each(|endpoint| own.add(endpoint, 1));
    Report { vm: vm.to_owned(), own, ..Report::default() }
}

/// Starts a server and connects to it. The server ends with the token.
async fn connect() -> (Client, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    drop(listener);
    let stop = CancellationToken::new();
    let serving = rpc::view::serve(address, Arc::new(Script), stop.clone());
    tokio::spawn(async move { serving.await.expect("a server") });
    for _ in 0..50 {
        if let Ok(client) = Client::connect(address, ANSWER_TIMEOUT).await {
            return (client, stop);
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the server does not answer");
}

fn is_refused<T>(result: &Result<T, Error>) -> bool {
    matches!(result, Err(Error::Refused(..)))
}

#[tokio::test]
async fn reports_are_answered_and_rejected_ones_refused() {
    let (client, stop) = connect().await;
    let loads = client.report(&report("valid", 2), ANSWER_TIMEOUT).await;
    assert_eq!(loads, Ok(Loads { sheet: report("valid", 2).own, gateways: 3 }));
    let swapped = client.swap(&report("valid", 2), ANSWER_TIMEOUT).await;
    assert_eq!(swapped, Ok(report("valid", 2)));
    assert!(is_refused(&client.report(&report("other", 2), ANSWER_TIMEOUT).await));
    assert!(is_refused(&client.swap(&report("other", 2), ANSWER_TIMEOUT).await));
    assert!(is_refused(&client.report(&report("unsorted", 1), ANSWER_TIMEOUT).await));
    // The connection outlives refusals.
    assert!(client.report(&report("valid", 1), ANSWER_TIMEOUT).await.is_ok());
    stop.cancel();
}

#[tokio::test]
async fn reports_with_too_many_rows_or_too_long_a_name_are_refused() {
    let (client, stop) = connect().await;
    assert!(is_refused(&client.report(&report("valid", 16_385), MAX_WAIT).await));
    assert!(is_refused(&client.swap(&report(&"v".repeat(254), 1), ANSWER_TIMEOUT).await));
    stop.cancel();
}

#[tokio::test]
async fn a_call_for_changes_waits_no_longer_than_asked_for_and_than_allowed() {
    let (client, stop) = connect().await;
    let after = |version| Cursor { prefix: "a/".to_owned(), version };
    let asked = [(100, 0, Delta::Unknown), (60_000, 5, Delta::Lost)];
    for (millis, version, expected) in asked {
        let wait = Duration::from_millis(millis);
        let start = Instant::now();
        let delta = client.changes(&after(version), wait, ANSWER_TIMEOUT).await;
        assert_eq!(delta, Ok(expected));
        let took = start.elapsed();
        assert!(took >= wait.min(MAX_WAIT) && took < MAX_WAIT + ANSWER_TIMEOUT, "{took:?}");
    }
    stop.cancel();
}

#[tokio::test]
async fn a_peer_that_does_not_answer_in_time_is_unreachable() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = silent.local_addr().expect("an address");
    let start = Instant::now();
    let connected = Client::connect(address, ANSWER_TIMEOUT).await;
    assert!(matches!(connected, Err(Error::Unreachable(..))));
    assert!(start.elapsed() < 3 * ANSWER_TIMEOUT, "{:?}", start.elapsed());
}
