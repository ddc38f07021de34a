//! Clients that keep their connections until the process behind them is gone.

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

/// The pause between two requests of one client.
const PAUSE: std::ops::Range<u64> = 10..120;

/// One of so many requests is left by its client early.
const LEAVES: u32 = 20;

/// A client waits for so much longer than the route allows before it gives up.
const PATIENCE: Duration = Duration::from_secs(3);

/// Asks one gateway until the token is cancelled.
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
        sleep(Duration::from_millis(random.random_range(PAUSE))).await;
        if connection.is_none() {
            connection = Connection::open(gateway).await.ok();
        }
        let Some(open) = connection.as_mut() else { continue };
        count += 1;
        let id = format!("{name}-{count}");
        let kind = Kind::ALL[random.random_range(0..Kind::ALL.len())];
        let is_kept = ask(open, &id, kind, &mut random, &ledger).await;
        if !is_kept {
            connection = None;
        }
    }
}

/// Sends one request; says whether its connection may be used again.
async fn ask(
    connection: &mut Connection,
    id: &str,
    kind: Kind,
    random: &mut impl Rng,
    ledger: &Ledger,
) -> bool {
    let patience = match random.random_range(0..LEAVES) {
        0 => Duration::from_millis(random.random_range(1..300)),
        _ => kind.time() + PATIENCE,
    };
    ledger.sent(id, kind);
    let Ok(outcome) = timeout(patience, exchange(connection, id, kind)).await else {
        ledger.ended(id, if patience < kind.time() { End::Left } else { End::Cut });
        return false;
    };
    let (end, is_kept) = outcome;
    // A process may close an idle connection as a request crosses: that one did not run.
    if let Some(end) = end {
        ledger.ended(id, end);
    }
    is_kept
}

async fn exchange(connection: &mut Connection, id: &str, kind: Kind) -> (Option<End>, bool) {
    let request = http::Request::builder()
        .method(if kind == Kind::Look { "GET" } else { "POST" })
        .uri(format!("{}{id}", kind.prefix()))
        .header("host", "h.example")
        .header("x-request-id", id)
        .header("x-deadline-ms", kind.time().as_millis().to_string())
        .header("authorization", "Bearer k1")
        .body(Full::new(Bytes::from_static(if kind == Kind::Look { b"" } else { b"body" })));
    let Ok(request) = request else { return (Some(End::Wrong("no request".to_owned())), false) };
    let sent = Instant::now();
    let response = match connection.send(request).await {
        Ok(response) => response,
        // The connection was closed while it was idle, or as the request crossed.
        Err(_) if sent.elapsed() < Duration::from_millis(200) => return (None, false),
        Err(_) => return (Some(End::Cut), false),
    };
    let status = response.status().as_u16();
    let closes = response.headers().get("connection").is_some_and(|value| value == "close");
    let echoed = response.headers().get("x-request-id").cloned();
    let Ok(body) = response.into_body().collect().await else { return (Some(End::Cut), false) };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    if status != 200 {
        return (Some(End::Status(status)), !closes);
    }
    let is_own = echoed.is_some_and(|echoed| echoed == id);
    let right = match kind.is_stream() {
        true => (1..=endpoint::EVENTS).map(|number| endpoint::event(id, number)).collect(),
        false => endpoint::right(id),
    };
    if is_own && text == right {
        return (Some(End::Right), !closes);
    }
    (Some(End::Wrong(format!("looks whole: {text:?}"))), false)
}

/// Asks a gateway for routes that newer configurations have; what it had once it must keep.
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
