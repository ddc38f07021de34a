//! The store's keys as this process last read them.

use std::time::Duration;

use rpc::view::Cursor;
use rpc::view::Snapshot;
use services::feed::Listing;
use services::store::Change;

/// A process that heard from the store within this time knows what is there: a
/// watch ends after three seconds and its answer is waited for one second more.
const CURRENT: Duration = Duration::from_secs(5);

/// The store's keys as this process last read them, for peers that the store turns away.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    /// Sorted by prefix.
    topics: Vec<Topic>,
}

#[derive(Debug, Clone, Default)]
struct Topic {
    prefix: String,
    listing: Listing,
    /// When the store last answered.
    heard: Option<Duration>,
    /// Whether the last call failed.
    is_lost: bool,
}

impl Mirror {
    /// Begins to follow prefixes, of which nothing was read yet.
    pub fn follow(&mut self, prefixes: &[&str]) {
        for prefix in prefixes {
            self.topic(prefix);
        }
    }

    /// Takes in all keys under a prefix as the store gave them.
    pub fn read(&mut self, prefix: &str, listing: Listing, now: Duration) {
        let topic = self.topic(prefix);
        topic.listing = listing;
        topic.heard = Some(now);
        topic.is_lost = false;
    }

    /// Takes in changes that the store told.
    pub fn changed(&mut self, prefix: &str, change: &Change, now: Duration) {
        let topic = self.topic(prefix);
        topic.heard = Some(now);
        topic.is_lost = false;
        let Listing { entries, version } = &mut topic.listing;
        *version = change.version.max(*version);
        for entry in &change.entries {
            match entries.binary_search_by(|known| known.key.cmp(&entry.key)) {
                Ok(index) => entries[index] = entry.clone(),
                Err(index) => entries.insert(index, entry.clone()),
            }
        }
        entries.retain(|entry| !change.removed.contains(&entry.key));
    }

    /// Takes in that a call of the store failed.
    pub fn lost(&mut self, prefix: &str) {
        self.topic(prefix).is_lost = true;
    }

    /// Takes in what a peer knows; says whether it was missed here.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        let topic = self.topic(&snapshot.prefix);
        let is_missed = topic.is_missed() && snapshot.listing.version > topic.listing.version;
        if is_missed {
            topic.listing = snapshot.listing.clone();
        }
        is_missed
    }

    /// The store's version up to which the keys under a prefix are known; 0 for nothing.
    pub fn version(&self, prefix: &str) -> u64 {
        self.find(prefix).map_or(0, |index| self.topics[index].listing.version)
    }

    /// The prefixes under which changes are missed, with what is known there.
    pub fn missed(&self) -> Vec<Cursor> {
        let missed = self.topics.iter().filter(|topic| topic.is_missed());
        let known =
            |topic: &Topic| Cursor { prefix: topic.prefix.clone(), version: topic.listing.version };
        missed.map(known).collect()
    }

    /// Whether all changes are heard of.
    pub fn is_current(&self, now: Duration) -> bool {
        let is_current =
            |topic: &Topic| topic.heard.is_some_and(|heard| now.saturating_sub(heard) <= CURRENT);
        !self.topics.is_empty() && self.topics.iter().all(is_current)
    }

    /// What is known that a peer doesn't know yet. Where changes aren't heard of, that is
    /// for peers that know nothing: they serve better with it than not at all.
    pub fn newer(&self, known: &[Cursor], now: Duration) -> Vec<Snapshot> {
        let is_current = self.is_current(now);
        let newer = |known: &Cursor| {
            let topic = &self.topics[self.find(&known.prefix).ok()?];
            let is_told = is_current || known.version == 0;
            let is_newer = is_told && topic.listing.version > known.version;
            let snapshot =
                || Snapshot { prefix: known.prefix.clone(), listing: topic.listing.clone() };
            is_newer.then(snapshot)
        };
        known.iter().filter_map(newer).collect()
    }

    fn topic(&mut self, prefix: &str) -> &mut Topic {
        let index = self.find(prefix).unwrap_or_else(|index| {
            let topic = Topic { prefix: prefix.to_owned(), ..Topic::default() };
            self.topics.insert(index, topic);
            index
        });
        &mut self.topics[index]
    }

    fn find(&self, prefix: &str) -> Result<usize, usize> {
        self.topics.binary_search_by(|topic| topic.prefix.as_str().cmp(prefix))
    }
}

impl Topic {
    /// Whether the store doesn't tell of its changes, or didn't yet.
    fn is_missed(&self) -> bool {
        self.is_lost || self.heard.is_none()
    }
}
