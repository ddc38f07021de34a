//! HTTP/1.1 connections to endpoints and the store, one request at a time.
//!
//! A ready-made client hides which connection a request took and whether any of
//! it was sent. Both decide here whether a request that failed may be sent again,
//! so this crate drives single connections of `hyper` and keeps the idle ones;
//! `docs/decisions/platform.md` weighs it.

mod connection;
mod failure;
mod pool;

pub use connection::Connection;
pub use connection::Request;
pub use connection::Response;
pub use failure::Failure;
pub use pool::Pool;
