//! The store of the users' platform, in memory.
//!
//! It speaks what their pages say of reads, watches, transactions and leases.

mod calls;
mod fault;
mod lease;
mod message;
mod routes;
mod service;
mod store;
mod watch;

use std::io;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::key_value::service::Service;
use crate::server::Server;

/// How the key-value service behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Reads answered in a second; 0 sets no limit.
    pub reads_per_second: u32,
    /// Writes answered in a second; 0 sets no limit.
    pub writes_per_second: u32,
}

/// Faults that are switched on while the service runs.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Whether all calls get 503 and all watches are cut.
    pub outage: bool,
    /// Milliseconds added to each call.
    pub delay_ms: u64,
    /// Number of writes that take effect and get no answer.
    pub lose_answers: u32,
    /// Whether all watches are cut.
    pub cut_watches: bool,
    /// Number of events that watches skip.
    pub lose_watch_events: u32,
}

/// Calls so far.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Counts {
    /// Reads taken in, opened watches among them.
    pub reads: u64,
    /// Writes taken in.
    pub writes: u64,
    /// Watches that are open.
    pub watches_open: u64,
    /// Watches that were opened.
    pub watches_opened: u64,
    /// Calls refused by a rate limit.
    pub limited: u64,
}

/// Starts the key-value service.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(listen: SocketAddr, options: Options) -> io::Result<Server> {
    let service = Service::new(options);
    Server::start(listen, move |config| {
        ntex::rt::spawn(lease::expire(service.clone()));
        routes::add(config, &service);
    })
}
