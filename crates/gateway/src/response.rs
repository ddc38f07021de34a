//! Responses that come from an endpoint.

use crate::attempt::FullResponse;
use crate::relay::Relay;

/// An endpoint's response, as it is passed on to the client.
#[derive(Debug)]
pub(crate) enum Response {
    /// A response that was received completely.
    Full(FullResponse),
    /// An event stream, relayed event by event.
    Stream(Box<Relay>),
}
