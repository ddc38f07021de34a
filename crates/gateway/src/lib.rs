//! The border to clients that passes requests on to endpoints as they are.
//!
//! A gateway takes raw HTTP requests, finds their route and client account, and
//! sends them to one endpoint after the other as the kind of request allows.
//! What an outside system's words mean is left to a [`route::Dialect`].
//! `docs/decisions/platform.md` has the design.

mod accept;
mod answer;
mod answering;
mod attempt;
mod connections;
mod context;
mod events;
mod feed;
mod fleet;
mod forward;
mod headers;
mod knowledge;
mod peer;
mod record;
mod refusal;
mod relay;
mod request;
mod seat;
mod server;
mod wish;
mod worker;

pub use context::Context;
pub use feed::follow;
pub use knowledge::Knowledge;
pub use peer::Mirror;
pub use peer::Peers;
pub use peer::register;
pub use server::serve_on;
