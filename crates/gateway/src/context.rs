//! What a gateway is given.

use std::sync::Arc;
use std::time::Duration;

use route::Dialect;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Knowledge;

/// What a gateway is given.
#[derive(Clone)]
pub struct Context {
    /// Decodes what clients and endpoints write.
    pub dialect: Arc<dyn Dialect>,
    /// What the process knows.
    pub knowledge: Arc<Knowledge>,
    /// The data centre that it stands in.
    pub centre: String,
    /// Connections that are open at once.
    pub connections: usize,
    /// Retries that the fleet may send for each request.
    pub retry_ratio: f64,
    /// Retries that the fleet may send besides.
    pub retry_slack: f64,
    /// Processes that share the retries, if no more are registered.
    pub processes: u32,
    /// How long the process stays reachable after a stop is asked for, so that
    /// balancers notice that it is not ready.
    pub stop_notice: Duration,
    /// How long requests in flight may go on after that.
    pub stop_grace: Duration,
    /// Cancelled once the process is told to stop.
    pub stop: CancellationToken,
    /// Cancelled once the process has given its last answer and takes no more requests.
    pub over: CancellationToken,
    /// Counts answers that are not complete yet.
    pub answers: TaskTracker,
}
