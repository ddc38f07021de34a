//! The last success of each part.

use std::time::Duration;

use crate::quarantine::Crash;
use crate::quarantine::PartId;

/// Most parts that are remembered besides those of known crashes. When there are more, those that
/// succeeded longest ago are forgotten.
const MAX_PARTS: usize = 4_096;

/// A success this long before a crash still clears a part: responses that were complete
/// just before it tell as much as those just after it. A part that begins to crash endpoints is
/// blamed later by this time.
const LOOKBACK: Duration = Duration::from_secs(2);

/// When a request with a part last succeeded, by part.
#[derive(Debug, Clone, Default)]
pub struct Successes {
    /// Sorted by part.
    last: Vec<(PartId, Duration)>,
    /// Parts of known crashes, sorted: without their successes they would be suspected again.
    needed: Vec<PartId>,
}

impl Successes {
    /// Sets the parts of known crashes, whose successes are kept.
    pub(crate) fn set_needed(&mut self, mut parts: Vec<PartId>) {
        parts.sort_unstable();
        parts.dedup();
        self.needed = parts;
    }

    /// Records a success. Returns whether it is later than the one known.
    pub fn record(&mut self, part: PartId, at: Duration) -> bool {
        match self.find(part) {
            Ok(index) if self.last[index].1 >= at => return false,
            Ok(index) => self.last[index].1 = at,
            Err(_) => {
                if self.last.len() >= MAX_PARTS + self.needed.len() {
                    self.forget_oldest();
                }
                let index = self.find(part).unwrap_or_else(|index| index);
                self.last.insert(index, (part, at));
            }
        }
        true
    }

    /// Returns when a request with a part last succeeded.
    pub fn last(&self, part: PartId) -> Option<Duration> {
        self.find(part).ok().map(|index| self.last[index].1)
    }

    /// Whether a success shows that a part did not cause a crash.
    pub fn clears(&self, part: PartId, crash: &Crash) -> bool {
        self.last(part).is_some_and(|at| at + LOOKBACK >= crash.at)
    }

    /// Forgets the half that succeeded longest ago, without those of known crashes.
    fn forget_oldest(&mut self) {
        let mut times: Vec<Duration> = self.last.iter().map(|(_, at)| *at).collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        let needed = &self.needed;
        self.last.retain(|(part, at)| *at > median || needed.binary_search(part).is_ok());
    }

    fn find(&self, part: PartId) -> Result<usize, usize> {
        self.last.binary_search_by_key(&part, |row| row.0)
    }
}
