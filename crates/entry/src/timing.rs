//! Whether an answer keeps its rank's times.

use std::time::Duration;

use config::Document;

use crate::request::Request;

/// The pieces of one answer against the clock.
///
/// The time between tokens is the mean over the answer, so that a single
/// pause in a long answer that kept its pace doesn't make it late.
pub(crate) struct Timing {
    arrived: Duration,
    first_limit: Duration,
    gap_limit: Duration,
    first: Option<Duration>,
    last: Option<Duration>,
    chunks: u32,
}

impl Timing {
    /// The pace of a request's rank.
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

    /// When the latest piece came in.
    pub(crate) fn last_chunk(&self) -> Option<Duration> {
        self.last
    }

    /// A piece came in.
    pub(crate) fn record_chunk(&mut self, now: Duration) {
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.chunks += 1;
    }

    /// Whether the first piece or the mean time between pieces missed its limit.
    pub(crate) fn is_late(&self) -> bool {
        let (Some(first), Some(last)) = (self.first, self.last) else { return false };
        if first.saturating_sub(self.arrived) > self.first_limit {
            return true;
        }
        let gaps = self.chunks - 1;
        gaps > 0 && last.saturating_sub(first) / gaps > self.gap_limit
    }
}
