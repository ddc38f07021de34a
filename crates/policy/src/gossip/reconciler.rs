//! Anti-entropy: when a process pulls descriptions that its view of the fleet lacks.
//!
//! Updates in beats take some seconds to reach all processes, and views differ until
//! then. A difference that lasts longer means that an update was missed, and it is
//! pulled. Where many members change at once, beats can't carry the updates and the
//! process pulls without waiting.

use std::time::Duration;

use crate::gossip::Budget;

/// Number of consecutive exchanges that have to show a difference before it is pulled.
const DIFFERING_EXCHANGES: u32 = 3;

/// A difference is pulled at once if more members than this are missing, have updates to
/// send or came with the last pull.
const MANY_MEMBERS: usize = 8;

/// Long-term rate of pulls, in bytes per second.
pub const RATE: usize = 200;

/// Burst of pulls in bytes, for a restart of many processes at once.
pub const BURST: usize = 1024 * 1024;

/// Approximate size of one encoded description in a pull, in bytes.
pub const MEMBER_BYTES: usize = 100;

/// Size of one encoded hash in a pull, in bytes.
pub const HASH_BYTES: usize = 7;

/// Most members in one pull.
const PULL_MEMBERS_MAX: usize = 512;

/// Schedules the pulls of one process.
#[derive(Debug, Clone)]
pub struct Reconciler {
    /// Number of consecutive exchanges that showed a difference.
    differing: u32,
    /// Number of members that the last pull brought.
    last_pulled: usize,
    budget: Budget,
}

/// Comparison of the two views of the fleet in one exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Comparison {
    /// Whether the hashes of the views differ.
    pub differs: bool,
    /// Number of members whose description the process itself has.
    pub own: usize,
    /// Number of members whose description the peer has.
    pub theirs: usize,
    /// Number of members with an update that the process still has to send.
    pub pending: usize,
}

impl Reconciler {
    /// Returns the state of a process that has seen no difference and has its whole burst left.
    pub fn new(now: Duration) -> Reconciler {
        Reconciler { differing: 0, last_pulled: 0, budget: Budget::new(RATE, BURST, now) }
    }

    /// Records one exchange and returns how many members to pull from the peer at most, or
    /// `None` if no pull is due or the budget is used up.
    pub fn pull_limit(&mut self, comparison: Comparison, now: Duration) -> Option<usize> {
        if !comparison.differs {
            self.differing = 0;
            return None;
        }
        self.differing += 1;
        if self.differing < self.required_exchanges(comparison) {
            return None;
        }
        let most = (self.budget.available(now) / MEMBER_BYTES).min(PULL_MEMBERS_MAX);
        (most > 0).then_some(most)
    }

    /// Returns how many consecutive differing exchanges lead to a pull.
    fn required_exchanges(&self, comparison: Comparison) -> u32 {
        let missing = comparison.theirs.saturating_sub(comparison.own);
        let is_many = missing.max(comparison.pending).max(self.last_pulled) > MANY_MEMBERS;
        if is_many { 1 } else { DIFFERING_EXCHANGES }
    }

    /// Records the number of hashes and members that a pull transferred.
    pub fn record_pull(&mut self, hashes: usize, members: usize) {
        self.differing = 0;
        self.last_pulled = members;
        self.budget.spend(hashes * HASH_BYTES + members * MEMBER_BYTES);
    }
}
