//! Reverse proxy that forwards HTTP requests of clients to endpoints.
//!
//! A gateway finds the route and the client account of a request, and sends it unchanged to one
//! endpoint after the other until one responds, as often as the kind of request allows. A
//! [`route::Dialect`] decodes and encodes the formats of the external system.
//! `docs/decisions/platform.md` has the design.

mod accept;
mod attempt;
mod connections;
mod context;
mod crash_check;
mod criteria;
mod demands;
mod directory;
mod ejections;
mod endpoints;
mod evacuations;
mod events;
mod failures;
mod feed;
mod forward;
mod framing;
mod full;
mod headers;
mod history;
mod in_flight;
mod memory;
mod notice;
mod operator;
mod options;
mod origins;
mod peer;
mod quarantine;
mod record;
mod refusal;
mod relay;
mod removed;
mod request;
mod response;
mod response_guard;
mod routing;
mod selection;
mod server;
mod silences;
mod speeds;
mod tracked;
mod worker;

pub use context::Context;
pub use context::Limits;
pub use evacuations::News;
pub use feed::follow;
pub use options::Options;
pub use peer::Member;
pub use peer::Mirror;
pub use peer::Peers;
pub use peer::register;
pub use peer::share_loads;
pub use routing::Routing;
pub use server::serve_on;
