//! Tests of clients that do nothing and take all connections of a gateway. The limit of connections is one of the
//! process, so it has one of its own.

#[path = "support/address.rs"]
mod address;
#[allow(dead_code, reason = "shared with the sessions, which use more of it")]
#[path = "sessions/support/mod.rs"]
mod support;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use gateway::Limits;
use platform::Codec;
use route::Dialect;

use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::fixture::Fixture;
use crate::support::fixture::limits;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::full_response;

/// Connections that the gateway accepts, and clients that take them.
const CONNECTIONS: usize = 40;
const CROWD: usize = 50;

/// A configuration in which clients may do nothing for longer than a gateway may take no new ones.
const CONFIGURATION: &str = r#"{"version": 8, "routes": [
    {"name": "look", "hostname": "h.example", "prefix": "/look/", "type": "idempotent",
     "service": "plain", "attempts": 2, "timeout_ms": 800, "goal_ms": 300, "priority": 2, "public": true},
    {"name": "tell", "hostname": "h.example", "prefix": "/tell/", "type": "stream",
     "service": "plain", "attempts": 2, "timeout_ms": 20000, "goal_ms": 400, "priority": 0, "public": true}],
  "services": [{"name": "plain"}],
  "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 15000}}"#;

/// Longest time in which a gateway that is ready may take no new connection.
const CONTACT_BOUND: Duration = Duration::from_secs(3);

/// Guards against bodies that stop short of their end and keep all new clients out (review/10).
#[test]
fn stalled_bodies_take_all_connections_until_they_are_given_up() {
    check(&format!("POST /tell/1 HTTP/1.1\r\n{REQUEST_HEADERS}Content-Length: 10\r\n\r\npart"));
}

/// Guards against the same by clients that had their responses and keep their connections open.
#[test]
fn idle_connections_keep_new_clients_out() {
    check(&look());
}

/// A request that is answered at once.
fn look() -> String {
    format!("GET /look/1 HTTP/1.1\r\n{REQUEST_HEADERS}\r\n")
}

/// Checks that a client that comes after a crowd of others, which send this and do nothing more, gets a
/// response in time.
fn check(request: &str) {
    let endpoint = Endpoint::start("e1", vec![full_response("200 OK", "ok")]);
    let limits = Limits { connections: CONNECTIONS, ..limits() };
    let fixture = Fixture::limited("plain", &[&endpoint], limits);
    let table = Codec.table(CONFIGURATION.as_bytes()).expect("a configuration");
    assert!(fixture.routing.set_table(table));
    let connect = |_| {
        let mut stream = TcpStream::connect(fixture.address).expect("a gateway");
        stream.write_all(request.as_bytes()).expect("a connection");
        // Accepted all at once they would exceed the limit.
        thread::sleep(Duration::from_millis(10));
        stream
    };
    let crowd: Vec<TcpStream> = (0..CROWD).map(connect).collect();
    let asked = Instant::now();
    let mut client = Client::connect(fixture.address);
    client.send(&look());
    assert_eq!(client.read_line(), "HTTP/1.1 200 OK");
    assert!(asked.elapsed() < CONTACT_BOUND, "{:?}", asked.elapsed());
    drop(crowd);
}
