//! Local copy of the store's keys.

use std::collections::VecDeque;
use std::time::Duration;

use rpc::view::Cursor;
use rpc::view::Delta;
use rpc::view::Snapshot;
use services::feed::Listing;
use services::store::Change;
use services::version::restores;

/// A copy is current if the store answered within this time. A watch ends after three seconds,
/// and its answer is waited for one second longer.
const CURRENT_MAX_AGE: Duration = Duration::from_secs(5);

/// Most removals of keys that are remembered. Peers that lag further behind read all keys again.
const MAX_REMOVALS: usize = 1_024;

/// Local copy of the store's keys, from which peers that don't read the store are answered.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    /// Sorted by prefix.
    subtrees: Vec<Subtree>,
}

/// The keys under one prefix.
#[derive(Debug, Clone, Default)]
struct Subtree {
    prefix: String,
    listing: Listing,
    /// Version after which all removals are known.
    complete_after: u64,
    /// Keys that were removed lately, each with a version of the store at which it was gone.
    removals: VecDeque<(u64, String)>,
    /// When the store last answered; `None` if it never did.
    last_answer: Option<Duration>,
    /// Whether the last call of the store failed.
    is_lost: bool,
}

impl Mirror {
    /// Adds prefixes, without any keys yet.
    pub fn add_prefixes(&mut self, prefixes: &[&str]) {
        for prefix in prefixes {
            self.subtree(prefix);
        }
    }

    /// Replaces all keys under a prefix by those read from the store.
    pub fn replace(&mut self, prefix: &str, listing: Listing, now: Duration) {
        let subtree = self.subtree(prefix);
        subtree.set_listing(listing);
        subtree.last_answer = Some(now);
        subtree.is_lost = false;
    }

    /// Applies changes that the store reported.
    pub fn apply(&mut self, prefix: &str, change: &Change, now: Duration) {
        let subtree = self.subtree(prefix);
        subtree.last_answer = Some(now);
        subtree.is_lost = false;
        let Listing { entries, version } = &mut subtree.listing;
        *version = change.version.max(*version);
        for entry in &change.entries {
            match entries.binary_search_by(|known| known.key.cmp(&entry.key)) {
                Ok(index) => entries[index] = entry.clone(),
                Err(index) => entries.insert(index, entry.clone()),
            }
        }
        entries.retain(|entry| !change.removed.contains(&entry.key));
        let version = *version;
        subtree.removals.extend(change.removed.iter().map(|key| (version, key.clone())));
        while subtree.removals.len() > MAX_REMOVALS {
            if let Some((version, _)) = subtree.removals.pop_front() {
                subtree.complete_after = version;
            }
        }
    }

    /// Returns the changes under a prefix after a version.
    pub fn delta(&self, after: &Cursor, now: Duration) -> Delta {
        let Ok(index) = self.find(&after.prefix) else { return Delta::Unknown };
        self.subtrees[index].delta(after.version, now)
    }

    /// Records that a call of the store failed.
    pub fn set_lost(&mut self, prefix: &str) {
        self.subtree(prefix).is_lost = true;
    }

    /// Replaces the keys under a prefix by a peer's snapshot if they are stale and the snapshot
    /// is newer. Returns whether it did.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        let subtree = self.subtree(&snapshot.prefix);
        let is_newer = subtree.is_stale() && snapshot.listing.version > subtree.listing.version;
        if is_newer {
            subtree.set_listing(snapshot.listing.clone());
        }
        is_newer
    }

    /// Returns the store's version up to which the keys under a prefix are known; 0 for none.
    pub fn version(&self, prefix: &str) -> u64 {
        self.find(prefix).map_or(0, |index| self.subtrees[index].listing.version)
    }

    /// Returns the number of restores of the store before its latest known version; `None` while no
    /// keys are known.
    pub fn restores(&self) -> Option<u64> {
        let known = self.subtrees.iter().map(|subtree| subtree.listing.version);
        known.filter(|version| *version > 0).map(restores).max()
    }

    /// Returns the prefixes for which the last call of the store failed, each with the version up
    /// to which its keys are known.
    pub fn lost(&self) -> Vec<Cursor> {
        let lost = self.subtrees.iter().filter(|subtree| subtree.is_lost);
        let cursor = |subtree: &Subtree| Cursor {
            prefix: subtree.prefix.clone(),
            version: subtree.listing.version,
        };
        lost.map(cursor).collect()
    }

    /// Whether the store has answered within `CURRENT_MAX_AGE` for all prefixes.
    pub fn is_current(&self, now: Duration) -> bool {
        let is_current = |subtree: &Subtree| {
            subtree.last_answer.is_some_and(|time| now.saturating_sub(time) <= CURRENT_MAX_AGE)
        };
        !self.subtrees.is_empty() && self.subtrees.iter().all(is_current)
    }

    /// Returns snapshots of the prefixes of which a peer knows less.
    ///
    /// If this copy isn't current, only prefixes of which the peer knows nothing are returned:
    /// serving with old data is better than not serving.
    pub fn newer_than(&self, known: &[Cursor], now: Duration) -> Vec<Snapshot> {
        let is_current = self.is_current(now);
        let snapshot = |known: &Cursor| {
            let subtree = &self.subtrees[self.find(&known.prefix).ok()?];
            let is_allowed = is_current || known.version == 0;
            let is_newer = is_allowed && subtree.listing.version > known.version;
            let copy =
                || Snapshot { prefix: known.prefix.clone(), listing: subtree.listing.clone() };
            is_newer.then(copy)
        };
        known.iter().filter_map(snapshot).collect()
    }

    /// Returns the keys under a prefix, which is added if it is new.
    fn subtree(&mut self, prefix: &str) -> &mut Subtree {
        let index = self.find(prefix).unwrap_or_else(|index| {
            let subtree = Subtree { prefix: prefix.to_owned(), ..Subtree::default() };
            self.subtrees.insert(index, subtree);
            index
        });
        &mut self.subtrees[index]
    }

    fn find(&self, prefix: &str) -> Result<usize, usize> {
        self.subtrees.binary_search_by(|subtree| subtree.prefix.as_str().cmp(prefix))
    }
}

impl Subtree {
    /// Replaces all keys. What was removed between the old and the new ones isn't known.
    fn set_listing(&mut self, listing: Listing) {
        self.complete_after = listing.version;
        self.removals.clear();
        self.listing = listing;
    }

    /// Returns the changes after a version.
    fn delta(&self, after: u64, now: Duration) -> Delta {
        let Some(last_answer) = self.last_answer.filter(|_| !self.is_lost) else {
            return Delta::Lost;
        };
        let Listing { entries, version } = &self.listing;
        // The store has come back from a copy, and this gateway has not heard of it.
        if restores(after) > restores(*version) {
            return Delta::Lost;
        }
        // What was removed before is not remembered, or was never told.
        if after < self.complete_after {
            return Delta::Unknown;
        }
        let is_written =
            |key: &str| entries.binary_search_by(|entry| entry.key.as_str().cmp(key)).is_ok();
        let removals = self.removals.iter().filter(|(at, key)| *at > after && !is_written(key));
        let change = Change {
            version: (*version).max(after),
            entries: entries.iter().filter(|entry| entry.version > after).cloned().collect(),
            removed: removals.map(|(_, key)| key.clone()).collect(),
        };
        Delta::Changes { change, age: now.saturating_sub(last_answer) }
    }

    /// Whether the last call of the store failed or the store has not answered yet.
    fn is_stale(&self) -> bool {
        self.is_lost || self.last_answer.is_none()
    }
}
