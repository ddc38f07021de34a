//! What a client is given.

use crate::attempt::Whole;
use crate::relay::Relay;

/// What a client is given of an endpoint's answer.
#[derive(Debug)]
pub(crate) enum Answer {
    /// All of it.
    Whole(Whole),
    /// A series of events, as they come.
    Stream(Box<Relay>),
}
