//! Control calls between the processes of the system.
//!
//! JSON-RPC over WebSocket. A peer shows the fleet's peer key when it connects;
//! who doesn't is turned away before any message is read. Messages have a size
//! limit both ways, and a message that can't be read gets a JSON-RPC error.
//! See `docs/decisions/membership.md`.

mod control;
mod difference;
mod error;
mod gate;
mod handler;
mod key;
mod keys;
mod limit;
mod methods;
mod packet;
mod pool;
mod server;
pub mod status;
pub mod view;

pub use difference::Difference;
pub use error::Error;
pub use handler::Handler;
pub use key::Key;
pub use keys::Keys;
pub use packet::Packet;
pub use packet::encoded_bytes;
pub use pool::Pool;
pub use server::serve;
pub use server::serve_on;
pub use status::Known;
pub use status::Status;
