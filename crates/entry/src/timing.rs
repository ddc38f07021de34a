//! Checks an answer's latency against the limits of its rank.

use std::time::Duration;

use config::Document;

use crate::request::Request;

/// Arrival times of the chunks of one answer.
///
/// The time between tokens is the mean over the answer, so that a single pause in a long
/// answer that was fast enough otherwise doesn't make it late.
pub(crate) struct Timing {
    arrived: Duration,
    first_limit: Duration,
    gap_limit: Duration,
    first: Option<Duration>,
    last: Option<Duration>,
    chunks: u32,
}

impl Timing {
    /// Creates the timing of a request, with the limits of its rank.
    pub(crate) fn new(document: &Document, request: &Request) -> Timing {
        let rank = document.rank(request.rank);
        Timing {
            arrived: request.arrived,
            first_limit: rank.map_or(Duration::MAX, |rank| rank.first_token),
            gap_limit: rank.map_or(Duration::MAX, |rank| rank.token_gap),
            first: None,
            last: None,
            chunks: 0,
        }
    }

    /// Returns the time of the latest chunk.
    pub(crate) fn last_chunk(&self) -> Option<Duration> {
        self.last
    }

    /// Records a chunk that came at a time.
    pub(crate) fn record_chunk(&mut self, now: Duration) {
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.chunks += 1;
    }

    /// Returns whether the first chunk or the mean time between chunks exceeded its
    /// limit.
    pub(crate) fn is_late(&self) -> bool {
        let (Some(first), Some(last)) = (self.first, self.last) else { return false };
        if first.saturating_sub(self.arrived) > self.first_limit {
            return true;
        }
        let gaps = self.chunks - 1;
        gaps > 0 && last.saturating_sub(first) / gaps > self.gap_limit
    }
}
