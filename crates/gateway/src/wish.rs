//! What a request wants of its endpoint, and what it gets.

use std::net::SocketAddr;
use std::sync::Arc;

use route::Endpoint;
use route::Part;

/// What a choice of endpoints rests on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wish<'a> {
    pub(crate) service: &'a str,
    pub(crate) centre: &'a str,
    pub(crate) tried: &'a [Arc<str>],
    /// The part of the prompt that other requests share.
    pub(crate) part: Option<Part>,
    /// Whether the request may find out if an endpoint that failed works again.
    pub(crate) may_probe: bool,
    pub(crate) seed: u64,
}

/// Where a request is to be sent.
#[derive(Debug, Clone)]
pub(crate) struct Choice {
    pub(crate) endpoint: Arc<Endpoint>,
    /// Another endpoint that holds the shared part of the prompt.
    pub(crate) copy_from: Option<SocketAddr>,
}
