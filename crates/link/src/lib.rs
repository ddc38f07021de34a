//! HTTP/1.1 connections to endpoints and the store, one request at a time.
//!
//! General HTTP clients hide on which connection a request was sent and whether any byte of it
//! was. Both determine whether a failed request may be sent again, so this crate drives single
//! `hyper` connections and pools the idle ones itself;
//! `docs/decisions/platform.md` weighs it.

mod allowance;
mod body;
mod connection;
mod failure;
mod metered;
mod pool;

pub use body::Body;
pub use connection::Connection;
pub use connection::Request;
pub use connection::Response;
pub use failure::Failure;
pub use pool::Pool;
