//! Stand-ins of clients, engines and the platform's store, and the processes under review.
//!
//! Uses the standard library only, so that it builds without a network.

pub mod base64;
pub mod client;
pub mod contents;
pub mod engine;
pub mod gateway;
pub mod http;
pub mod json;
pub mod record;
pub mod store;
pub mod streams;

use std::net::SocketAddr;
use std::net::TcpListener;

/// Whether the run includes its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns a free loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}
