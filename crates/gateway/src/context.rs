//! Parameters of a gateway's server.

use std::sync::Arc;
use std::time::Duration;

use policy::memory;
use route::Dialect;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Routing;

/// Bounds on what clients may hold; `docs/design/memory.md` has what happens at each.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Client connections that may be open at the same time.
    pub connections: usize,
    /// Memory for bodies.
    pub memory: memory::Limits,
    /// Longest time without bytes of a body that is expected.
    pub body_stall: Duration,
    /// Lowest mean rate of a body in bytes per second, after `body_stall`.
    pub body_rate: u32,
    /// Longest time for which a client may read nothing of a response.
    pub response_stall: Duration,
}

/// Dependencies, settings and shutdown tokens that a gateway's server is started with.
#[derive(Clone)]
pub struct Context {
    /// Decodes and encodes headers, announcements and configurations of the external system.
    pub dialect: Arc<dyn Dialect>,
    /// The configuration in force and the known endpoints.
    pub routing: Arc<Routing>,
    /// The data centre of this gateway.
    pub centre: String,
    /// Bounds on what clients may hold.
    pub limits: Limits,
    /// Retries that all gateways together may send per request.
    pub retry_ratio: f64,
    /// Retries that all gateways together may send on top of the ratio.
    pub retry_slack: f64,
    /// Least number of gateways among which the retry budget is divided; if more are registered,
    /// their number is used.
    pub min_gateways: u32,
    /// How long the process accepts all requests after a stop is requested, so that load
    /// balancers notice that it is no longer ready.
    pub stop_notice: Duration,
    /// How long requests in flight may continue after `stop_notice`.
    pub stop_grace: Duration,
    /// Cancelled when the process is asked to stop.
    pub stop: CancellationToken,
    /// Cancelled at the end of the grace period, when requests without a response are answered that it
    /// is not known whether they ran.
    pub overdue: CancellationToken,
    /// Cancelled when the process has sent its last response and accepts no more requests.
    pub finished: CancellationToken,
    /// Tracks responses that are not complete yet.
    pub responses: TaskTracker,
}
