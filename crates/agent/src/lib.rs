//! The agent role: admission control in front of one engine.
//!
//! All work reaches the engine through the agent's gate; see `docs/ARCHITECTURE.md`.

pub mod answers;
mod body;
mod context;
mod endpoint;
mod failure;
pub mod flight;
pub mod gate;
mod handler;
mod homes;
mod meter;
pub mod once;
pub mod orders;
mod probe;
mod relay;
mod rules;
pub mod run;
mod server;
mod stop;
pub mod worker;
pub mod writer;

pub use context::Context;
pub use context::EngineFactory;
pub use context::OnStamp;
pub use endpoint::Backend;
pub use endpoint::Kind;
pub use server::serve;
pub use server::serve_engine;
