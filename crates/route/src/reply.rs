//! What an endpoint's answer says besides its content.

use std::sync::Arc;

/// What the head of an endpoint's answer says besides its content.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reply {
    /// The request that it answers, as the endpoint echoes it.
    pub request: Option<Arc<str>>,
    /// Whether the endpoint says that the request did not and will not run.
    pub is_not_run: bool,
    /// Whether another endpoint has the address by now.
    pub is_other_endpoint: bool,
    /// The endpoint's load, if it tells.
    pub load: Option<Load>,
}

/// An endpoint's load at the time of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}
