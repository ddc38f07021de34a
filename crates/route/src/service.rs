//! Services.

use std::time::Duration;

use crate::ServiceName;

/// A service that endpoints offer.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one endpoint accepts from all callers together.
    pub connections: u32,
    /// Capacity of its model engines; `None` for plain services.
    pub engine: Option<Engine>,
    /// What its endpoints take while they are cold; `None` if they have no slow start.
    pub slow_start: Option<SlowStart>,
}

/// The slow start of the endpoints of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStart {
    /// Requests per second that a cold endpoint takes from all gateways together.
    pub per_s: f64,
    /// How long an endpoint is cold after its start.
    pub time: Duration,
}

/// Capacity of the model engines of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Requests that an engine processes at the same time.
    pub slots: u32,
    /// Size of an engine's key-value cache, in tokens.
    pub memory_tokens: u64,
}
