//! Slow start of cold endpoints, shared by all gateways.
//!
//! An endpoint that has just started, or has turned cold again, bears few requests per second from
//! all gateways together, in each single second. The load that this handles: a third of all
//! endpoints, or a whole data centre, comes back cold at the peak and looks idle, so that each
//! gateway would send there what it has, while gateways restart or are cut off from the others.
//!
//! Each gateway sends its part of a rate that leaves room for what the others can't know. Only the
//! parts follow the traffic, as in [`crate::rate_limit`]; nothing depends on counts of what others
//! have sent, which are later than the second in which they would matter.
//! See `docs/design/slow-start.md`.

mod rules;
mod term;
mod throttle;

pub use rules::Bounds;
pub use rules::Rules;
pub use term::Announced;
pub use term::Known;
pub use term::Source;
pub use term::Term;
pub use throttle::Throttle;
pub use throttle::Turn;
