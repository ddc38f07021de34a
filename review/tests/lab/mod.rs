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
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Whether the run includes its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..30_000;

/// Returns a free loopback address, another one each time.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = std::process::id() as u16 % (PORTS.end - PORTS.start);
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst).wrapping_mul(7).wrapping_add(first);
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}
