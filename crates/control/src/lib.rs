//! Controllers that keep the blackboard current: configuration and membership.
//!
//! [`run`] runs all of them on one thread. Every loop ends with its cancellation token;
//! a failure of the platform or of a peer is retried and ends no loop. See
//! `docs/decisions/configuration.md` and `docs/decisions/membership.md`.

mod beats;
mod clock;
mod context;
mod documents;
mod head;
mod history;
mod packets;
mod reconcile;
mod responder;
mod run;
mod shared;
mod stamps;
mod vms;

pub use context::Context;
pub use run::Platform;
pub use run::run;
pub use run::run_on;
pub use stamps::Stamps;
pub use stamps::record_stamp;
