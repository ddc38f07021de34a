//! Reasons why a process is not ready.

use displaydoc::Display;

/// Reason why a process is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Reason {
    /// the process is starting; wait until it listens
    Starting,
    /// no configuration was read yet; check that the key-value service answers
    Configuration,
    /// the membership lease is not held; check that the key-value service answers
    Lease,
    /// the engine does not answer; check engine.address and the engine
    Engine,
    /// the process is stopping; send work elsewhere
    Stopping,
}
