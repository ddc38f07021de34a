//! The key-value service spoken to in the JSON form of etcd's version 3 protocol.

mod call;
mod client;
mod message;
mod meter;
mod scalar;
mod stream;

pub use client::Client;
