//! Control calls between the processes of the system, as JSON-RPC over WebSocket.
//!
//! A caller shows the fleet's peer key or an operator's key when it connects; without
//! a valid key it is refused before any message is read. Messages have a size limit
//! in both directions, and a malformed message is answered by a JSON-RPC error.
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
