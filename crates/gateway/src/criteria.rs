//! Input and result of the choice of an endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use route::Endpoint;
use route::Part;

/// Criteria by which an endpoint is chosen for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Criteria<'a> {
    /// The service that the endpoint has to offer.
    pub(crate) service: &'a str,
    /// The data centre of this gateway; endpoints there are preferred.
    pub(crate) centre: &'a str,
    /// The required software version; `None` unless the request resumes a stream.
    pub(crate) version: Option<&'a str>,
    /// Versions that are preferred, with their services, sorted; empty if all are equal.
    pub(crate) preferred: &'a [(String, String)],
    /// Ids of endpoints that were already tried for this request.
    pub(crate) tried: &'a [Arc<str>],
    /// The prompt prefix that other requests share.
    pub(crate) part: Option<Part>,
    /// Whether the request may be used to probe an ejected endpoint.
    pub(crate) can_probe: bool,
    /// Whether the request can be sent to another endpoint if it fails at this one.
    pub(crate) can_fail: bool,
    /// The present time, by the clock of the routing.
    pub(crate) now: Duration,
    /// Random bits that break ties between endpoints.
    pub(crate) seed: u64,
}

impl Criteria<'_> {
    /// Whether the version of an endpoint is preferred.
    pub(crate) fn prefers(&self, endpoint: &Endpoint) -> bool {
        let key = (&*endpoint.service, &*endpoint.version);
        let find = |row: &(String, String)| (&*row.0, &*row.1).cmp(&key);
        self.preferred.binary_search_by(find).is_ok()
    }
}

/// The endpoint that was chosen for a request.
#[derive(Debug, Clone)]
pub(crate) struct Choice {
    pub(crate) endpoint: Arc<Endpoint>,
    /// Address of another endpoint that has the shared prompt prefix cached, so that it can be
    /// copied from there.
    pub(crate) copy_from: Option<SocketAddr>,
    /// Estimated number of requests that the endpoint has beside this one.
    pub(crate) requests: u32,
}
