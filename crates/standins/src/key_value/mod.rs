//! The key-value store of the users' platform, in memory.
//!
//! It implements reads, watches, transactions and leases as the platform's
//! documentation describes them.

mod calls;
mod error;
mod lease;
mod message;
mod routes;
mod service;
mod store;
mod watch;

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use serde::Deserialize;
use serde::Serialize;

use crate::key_value::service::Service;
use crate::server::Server;

/// Configuration of the key-value service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Reads admitted per second; 0 sets no limit.
    pub reads_per_second: u32,
    /// Writes admitted per second; 0 sets no limit.
    pub writes_per_second: u32,
}

/// Fault injection, set as a whole by `POST /standin/faults`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Whether all calls are answered with 503 and all open watches are closed
    /// without an answer.
    pub outage: bool,
    /// Milliseconds added to the duration of each call.
    pub delay_ms: u64,
    /// Number of next writes that take effect but get no answer.
    pub lose_answers: u32,
    /// Whether all watches are closed without an answer.
    pub cut_watches: bool,
    /// Number of next events that watches leave out.
    pub lose_watch_events: u32,
    /// Whether all leases in force when this is set end at once, with their keys.
    pub end_leases: bool,
}

/// Counters of the calls since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Counts {
    /// Reads admitted, including opened watches.
    pub reads: u64,
    /// Writes admitted.
    pub writes: u64,
    /// Watches that are open now.
    pub watches_open: u64,
    /// Watches opened since the start.
    pub watches_opened: u64,
    /// Calls refused by a rate limit.
    pub limited: u64,
}

/// Starts the key-value service on `listen`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(listen: SocketAddr, options: Options) -> io::Result<Server> {
    let service = Service::new(options);
    Server::start(listen, move |config| {
        ntex::rt::spawn(lease::run_expiry(service.clone()));
        routes::configure(config, &service);
    })
}

/// Lets a running service come back from the copy of a revision: keys and leases of later ones are
/// gone.
///
/// # Errors
///
/// The service can't be reached, or refuses.
pub fn restore(server: &Server, revision: u64) -> io::Result<()> {
    control(server, "restore", &format!(r#"{{"revision":{revision}}}"#))
}

/// Sets the faults of a running service.
///
/// # Errors
///
/// The service can't be reached, or refuses.
pub fn set_faults(server: &Server, faults: &Faults) -> io::Result<()> {
    control(server, "faults", &serde_json::to_string(faults)?)
}

/// Calls a control of a running service.
fn control(server: &Server, name: &str, body: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(server.addr())?;
    write!(
        stream,
        "POST /standin/{name} HTTP/1.1\r\nHost: s\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    if answer.starts_with("HTTP/1.1 200 ") { Ok(()) } else { Err(io::Error::other(answer)) }
}
