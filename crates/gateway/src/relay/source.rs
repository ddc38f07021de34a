//! The endpoint that a stream comes from.

use std::sync::Arc;
use std::time::Duration;

use link::Body;
use link::Connection;
use policy::speed::Pace;
use tokio::time::Instant;

use crate::attempt::StreamStart;
use crate::in_flight::InFlight;
use crate::silences::Stage;

/// One in this many events of a stream is taken for the usual time between events: gateways relay
/// thousands of them a second with a fraction of a core.
const SAMPLED_ONE_IN: u64 = 16;

/// The endpoint that the events currently come from.
pub(super) struct Source {
    pub(super) endpoint: Arc<route::Endpoint>,
    pub(super) body: Body,
    pub(super) connection: Connection,
    /// When the response began.
    pub(super) begun: Instant,
    /// When the request was sent.
    pub(super) sent: Instant,
    /// Requests that the endpoint had then.
    pub(super) requests: u32,
    /// Announced starts of endpoints until which the endpoint is known to be the one that sends; `None`
    /// before the first check.
    pub(super) restarts: Option<u64>,
    /// Whether events have arrived.
    pub(super) has_events: bool,
    pub(super) pace: Pace,
    /// Reads so far.
    pub(super) reads: u64,
    /// How long the next event may take before the stream is resumed elsewhere.
    pub(super) silence_timeout: Option<Duration>,
    _in_flight: InFlight,
}

impl Source {
    /// Returns what is waited for.
    pub(super) fn stage(&self) -> Stage {
        if self.reads == 0 { Stage::FirstEvent } else { Stage::NextEvent }
    }

    /// Whether the time of the next event is recorded, and how long it may take is looked up.
    pub(super) fn is_sampled(&self) -> bool {
        self.reads % SAMPLED_ONE_IN <= 1
    }
}

impl From<StreamStart> for Source {
    fn from(start: StreamStart) -> Source {
        let StreamStart { endpoint, response, connection, in_flight, sent, requests } = start;
        Source {
            endpoint,
            body: response.into_body(),
            connection,
            begun: Instant::now(),
            sent,
            requests,
            restarts: None,
            has_events: false,
            pace: Pace::default(),
            reads: 0,
            silence_timeout: None,
            _in_flight: in_flight,
        }
    }
}
