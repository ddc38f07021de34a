//! In-memory stand-ins for the outside systems, for tests and the demo; not shipped.
//!
//! Each module implements the published protocol of one outside system and
//! serves counters and fault injection under `/standin`. The binary `standin`
//! runs one of them; tests start them in-process with the module's `start`.

pub mod engine;
pub mod key_value;
pub mod registry;
pub mod server;
pub mod table;
pub mod vms;
pub mod weights;

mod json;
mod limiter;
