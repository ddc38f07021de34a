//! What gateways tell each other of crashes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::quarantine::PartId;
use crate::quarantine::StartId;
use crate::quarantine::Suspect;
use crate::quarantine::crash::MAX_SUSPECTS;

/// Most crashes in one message.
pub(crate) const MAX_CRASHES: usize = 16;

/// Most successes in one message.
pub(crate) const MAX_SUCCESSES: usize = 256;

/// Most suspects of all crashes in one message, so that it stays within the limit of a call.
pub(crate) const MAX_ALL_SUSPECTS: usize = 1_024;

/// Crashes and successes that a gateway knows. Times are told as ages, since gateways share no
/// clock.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Endpoints that crashed, each with its age and its suspects.
    pub crashes: Vec<(StartId, Duration, Vec<Suspect>)>,
    /// Suspected parts of which a request has succeeded, with the age of that.
    pub successes: Vec<(PartId, Duration)>,
}

impl Digest {
    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.successes.is_empty()
    }

    /// Whether it is in order and within the limits, as one that was received may not be.
    pub fn is_valid(&self) -> bool {
        let is_valid = |(_, _, suspects): &(StartId, Duration, Vec<Suspect>)| {
            suspects.len() <= MAX_SUSPECTS && suspects.iter().all(Suspect::is_valid)
        };
        let suspects = self.crashes.iter().map(|(_, _, suspects)| suspects.len());
        self.crashes.len() <= MAX_CRASHES
            && suspects.sum::<usize>() <= MAX_ALL_SUSPECTS
            && self.successes.len() <= MAX_SUCCESSES
            && self.crashes.iter().all(is_valid)
    }
}
