//! Metadata of a response.

use std::sync::Arc;
use std::time::Duration;

/// Metadata of an endpoint's response, decoded from its status and headers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reply {
    /// The id of the request, as the endpoint echoes it.
    pub request_id: Option<Arc<str>>,
    /// Whether the endpoint reports that the request did not and will not run.
    pub is_not_run: bool,
    /// Whether another endpoint than the intended one has the address now.
    pub is_other_endpoint: bool,
    /// The endpoint's load, if it reports that.
    pub load: Option<Load>,
    /// Requests per second that the endpoint takes from all gateways together, if it limits them.
    pub max_rate: Option<f64>,
    /// Whether the endpoint reports that it leaves and wants no new requests.
    pub is_leaving: bool,
    /// For how long the endpoint wants no requests from this gateway, if it says so.
    pub pause: Option<Duration>,
    /// How much longer the endpoint takes only few requests, if it says so; zero if it is not cold.
    pub cold_left: Option<Duration>,
}

/// An endpoint's load at the time of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests in progress.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Requests that it can process at the same time.
    pub slots: u32,
}
