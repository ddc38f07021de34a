//! The entry role: accepts callers' requests, chooses engines and relays their answers.
//!
//! An entry keeps no state that has to survive a restart. It reports `ran: no` only if an
//! agent said so or nothing was sent. See `docs/ARCHITECTURE.md` and
//! `docs/decisions/placement.md`.

mod answer;
mod attempt;
mod body;
mod call;
mod canceller;
mod candidates;
mod chat;
mod choice;
pub mod client;
mod completion;
mod context;
mod counts;
mod dispatch;
mod expiring;
mod handle;
mod meter;
mod models;
mod notes;
mod observer;
mod parameters;
pub mod problems;
mod reply;
mod request;
mod resume;
mod server;
mod sse;
mod stream;
mod tables;
mod ticker;
mod timing;
mod token;
pub mod transport;
mod worker;

pub use client::Http;
pub use context::Context;
pub use server::serve;
pub use server::serve_on;
pub use transport::Factory;
pub use transport::Fault;
pub use transport::Transport;
