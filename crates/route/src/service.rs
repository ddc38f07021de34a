//! Services.

use crate::ServiceName;

/// A service that endpoints offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one endpoint accepts from all callers together.
    pub connections: u32,
    /// Capacity of its model engines; `None` for plain services.
    pub engine: Option<Engine>,
}

/// Capacity of the model engines of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Requests that an engine processes at the same time.
    pub slots: u32,
    /// Size of an engine's key-value cache, in tokens.
    pub memory_tokens: u64,
}
