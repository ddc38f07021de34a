//! The last time at which the store was away.

use std::time::Duration;

use crate::origin::Loss;
use crate::origin::Segment;
use crate::origin::Signal;

/// The last time at which the store was away, as far as this gateway knows. A process that began and ended
/// within it has no journal. See `docs/decisions/versions.md`.
#[derive(Debug, Default)]
pub struct Outage {
    /// Whether reads succeeded before. A process that starts has not read anything yet.
    has_read: bool,
    are_reads_failing: bool,
    are_writes_failing: bool,
    /// The time of its end, and the versions that were known then.
    last: Option<(Duration, Segment)>,
}

impl Outage {
    /// Records whether calls of one kind fail. `versions` are those that are known now; they are kept if this
    /// ends an outage.
    pub fn set(&mut self, signal: Signal, is_away: bool, versions: Segment, now: Duration) {
        let was_away = self.is_away();
        match signal {
            Signal::Reads => {
                self.has_read |= !is_away;
                self.are_reads_failing = is_away && self.has_read;
            }
            Signal::Writes => self.are_writes_failing = is_away,
        }
        if was_away && !self.is_away() {
            self.last = Some((now, versions));
        }
    }

    /// Records the versions that this process knows once it has read those of others, and whether journals of
    /// processes that ended before were lost.
    pub fn learn(&mut self, versions: Segment, has_lost_journals: bool, now: Duration) {
        if has_lost_journals || self.last.is_some() {
            let end = self.last.as_ref().map_or(now, |(end, _)| *end);
            self.last = Some((end, versions));
        }
    }

    /// Returns the versions that were known at the end of the last outage, while clients still come back for
    /// streams of that time.
    pub fn last(&self, now: Duration) -> Segment {
        match &self.last {
            Some((end, versions)) if now.saturating_sub(*end) < Loss::MAX_AGE => versions.clone(),
            _ => Segment::default(),
        }
    }

    /// Whether the store is away.
    pub fn is_away(&self) -> bool {
        self.are_reads_failing || self.are_writes_failing
    }
}
