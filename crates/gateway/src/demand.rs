//! The requests for a service that this gateway got.

use policy::rate_limit::Promises;
use policy::rate_limit::Window;

/// The requests for a service lately, by which gateways divide the limits of its endpoints.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Attempts, wherever they were sent.
    pub(crate) requests: Window,
    /// Clients that were refused for limits and come back.
    pub(crate) promises: Promises,
}
