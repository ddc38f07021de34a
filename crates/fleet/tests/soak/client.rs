//! Clients that keep their connections open until the gateway's process closes them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use link::Connection;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::endpoint;
use crate::kind::Kind;
use crate::ledger::End;
use crate::ledger::Ledger;

/// Pause between two requests of a client, in milliseconds.
const REQUEST_PAUSE_MS: std::ops::Range<u64> = 10..120;

/// One of this many requests is abandoned early by its client.
const ABANDON_ONE_IN: u32 = 20;

/// Time beyond the route's timeout after which a client gives up.
const GIVE_UP_GRACE: Duration = Duration::from_secs(3);

/// Sends random requests to a gateway until the token is cancelled.
pub async fn run(
    name: String,
    seed: u64,
    gateway: SocketAddr,
    ledger: Ledger,
    cancel: CancellationToken,
) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut connection = None;
    let mut count = 0;
    while !cancel.is_cancelled() {
        sleep(Duration::from_millis(random.random_range(REQUEST_PAUSE_MS))).await;
        if connection.is_none() {
            connection = Connection::open(gateway).await.ok();
        }
        let Some(open) = connection.as_mut() else { continue };
        count += 1;
        let id = format!("{name}-{count}");
        let kind = Kind::ALL[random.random_range(0..Kind::ALL.len())];
        let is_kept = send_request(open, &id, kind, &mut random, &ledger).await;
        if !is_kept {
            connection = None;
        }
    }
}

/// Sends a request and records its end; returns whether the connection can be reused.
async fn send_request(
    connection: &mut Connection,
    id: &str,
    kind: Kind,
    random: &mut impl Rng,
    ledger: &Ledger,
) -> bool {
    let timeout_after = match random.random_range(0..ABANDON_ONE_IN) {
        0 => Duration::from_millis(random.random_range(1..300)),
        _ => kind.timeout() + GIVE_UP_GRACE,
    };
    ledger.record_sent(id, kind);
    let Ok(outcome) = timeout(timeout_after, exchange(connection, id, kind)).await else {
        ledger.record_end(
            id,
            if timeout_after < kind.timeout() { End::Abandoned } else { End::Disconnected },
        );
        return false;
    };
    let (end, is_kept) = outcome;
    // A process may close an idle connection just as a request is sent: that request did not run.
    if let Some(end) = end {
        ledger.record_end(id, end);
    }
    is_kept
}

/// Sends a request and reads its answer; returns how it ended, or `None` if it was not
/// sent, and whether the connection can be reused.
async fn exchange(connection: &mut Connection, id: &str, kind: Kind) -> (Option<End>, bool) {
    let request = http::Request::builder()
        .method(if kind == Kind::Idempotent { "GET" } else { "POST" })
        .uri(format!("{}{id}", kind.prefix()))
        .header("host", "h.example")
        .header("x-request-id", id)
        .header("x-deadline-ms", kind.timeout().as_millis().to_string())
        .header("authorization", "Bearer k1")
        .body(Full::new(Bytes::from_static(if kind == Kind::Idempotent { b"" } else { b"body" })));
    let Ok(request) = request else {
        return (Some(End::Incorrect("the request can't be built".to_owned())), false);
    };
    let sent = Instant::now();
    let response = match connection.send(request).await {
        Ok(response) => response,
        // The connection was closed while it was idle, or just as the request was sent.
        Err(_) if sent.elapsed() < Duration::from_millis(200) => return (None, false),
        Err(_) => return (Some(End::Disconnected), false),
    };
    let status = response.status().as_u16();
    let closes = response.headers().get("connection").is_some_and(|value| value == "close");
    let echoed = response.headers().get("x-request-id").cloned();
    let Ok(body) = response.into_body().collect().await else {
        return (Some(End::Disconnected), false);
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    if status != 200 {
        return (Some(End::Status(status)), !closes);
    }
    let is_own = echoed.is_some_and(|echoed| echoed == id);
    let expected = match kind.is_stream() {
        true => (1..=endpoint::EVENTS).map(|number| endpoint::expected_event(id, number)).collect(),
        false => endpoint::expected_body(id),
    };
    if is_own && text == expected {
        return (Some(End::Correct), !closes);
    }
    (Some(End::Incorrect(format!("complete but incorrect answer: {text:?}"))), false)
}

/// Returns the newest configuration version up to `newest` whose route the gateway
/// serves; `None` if it doesn't answer or has no configuration.
pub async fn probe(gateway: SocketAddr, newest: u64) -> Option<u64> {
    let mut connection = Connection::open(gateway).await.ok()?;
    let mut known = 0;
    for version in 1..=newest {
        let id = format!("probe-{version}");
        let request = http::Request::builder()
            .uri(format!("/v{version}/x"))
            .header("host", "h.example")
            .header("x-request-id", id)
            .header("authorization", "Bearer k1")
            .body(Full::new(Bytes::new()))
            .ok()?;
        let sent = timeout(Duration::from_millis(300), connection.send(request)).await.ok()?;
        let response = sent.ok()?;
        let status = response.status().as_u16();
        response.into_body().collect().await.ok()?;
        match status {
            404 => break,
            503 => return None,
            _ => known = version,
        }
    }
    Some(known)
}
