//! Services.

use crate::ServiceName;

/// A service, which endpoints offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one endpoint takes from all callers together.
    pub connections: u32,
    /// What its model engines can do; `None` for plain services.
    pub engine: Option<Engine>,
}

/// What the model engines of a service can do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Requests that an engine works on at once.
    pub slots: u32,
    /// Tokens that an engine's memory holds.
    pub memory_tokens: u64,
}
