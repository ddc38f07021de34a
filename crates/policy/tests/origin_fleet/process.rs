//! One gateway while it runs.

use std::time::Duration;

use policy::origin::Journal;
use policy::origin::Ledger;
use policy::origin::Loss;
use policy::origin::Outage;
use policy::origin::Outlook;
use policy::origin::Segment;
use policy::origin::Signal;
use policy::origin::StreamId;

use crate::origin_fleet::entry::Entry;
use crate::origin_fleet::fleet::SERVICE;
use crate::origin_fleet::rules::Rules;
use crate::origin_fleet::store::Store;

/// Steps after which the store forgets a process that has ended.
const LEASE_STEPS: u32 = 600;

/// Time after a loss for which replicas are stored as well.
const REPLICAS_TIME: Duration = Duration::from_secs(60);

/// One gateway while it runs.
#[derive(Debug, Default)]
pub(crate) struct Process {
    pub(crate) name: String,
    /// Slot of the gateway.
    pub(crate) slot: usize,
    pub(crate) ledger: Ledger,
    pub(crate) replicas: Ledger,
    /// Streams that it stores for others.
    pub(crate) adopted: Ledger,
    /// The versions in its journal, if it has one for sure.
    named: Segment,
    /// The versions that it has last written for processes that start.
    in_use: Segment,
    knows_others: bool,
    was_written: bool,
    outage: Outage,
    away_since: Duration,
    /// Time of the last loss, and the versions that were known before.
    loss: Option<(Duration, Segment)>,
    /// Number of restores of the store, and since when that is known.
    history: Option<(u64, Duration)>,
    is_first: bool,
}

impl Process {
    /// Returns a gateway that has just started.
    pub(crate) fn new(name: String, slot: usize) -> Process {
        let mut process = Process { name, slot, is_first: true, ..Process::default() };
        process.ledger.set_unstored(true);
        process
    }

    /// Whether it has read what it needs to serve requests.
    pub(crate) fn serves(&self) -> bool {
        self.history.is_some()
    }

    /// Whether its journal names a version.
    pub(crate) fn names(&self, version: &str) -> bool {
        has(&self.named, version)
    }

    /// Records whether the store answers.
    pub(crate) fn set_away(&mut self, is_away: bool, now: Duration) {
        if is_away && !self.outage.is_away() {
            self.away_since = now;
        }
        self.outage.set(Signal::Writes, is_away, self.ledger.versions(now), now);
    }

    /// Reads the history of the store, and the journals of others if it has just started.
    pub(crate) fn read(&mut self, store: &Store, rules: Rules, now: Duration) {
        match self.history {
            None => self.history = Some((store.restores, now)),
            Some((restores, _)) if restores < store.restores => {
                self.history = Some((store.restores, now));
                self.is_first = false;
                self.set_lost(now);
            }
            _ => {}
        }
        if !self.knows_others {
            let segments =
                store.entries.iter().flat_map(|it| it.segments.iter().chain([&it.orphans]));
            let in_use = store.in_use.as_ref().filter(|_| rules.has_in_use);
            let segments = segments.chain(in_use.map(|(_, versions)| versions));
            for row in segments.flat_map(|segment| &segment.rows) {
                self.ledger.announce(SERVICE, &row.version, now);
            }
            self.knows_others = true;
            let has_lost = in_use.is_some_and(|(writer, _)| !store.has(writer));
            self.outage.learn(self.ledger.versions(now), has_lost, now);
        }
    }

    /// Writes its journal.
    pub(crate) fn write(&mut self, store: &mut Store, rules: Rules, now: Duration) {
        let versions = self.ledger.versions(now);
        if self.was_written && !store.has(&self.name) {
            if !rules.has_losses {
                return;
            }
            self.set_lost(now);
        }
        let mut segments = vec![versions.clone()];
        let mixed = self.ledger.mixed_segments(now).into_iter().map(|(_, segment)| segment);
        segments.extend(mixed);
        segments.extend(self.adopted.segments(now).map(|(_, segment)| segment.clone()));
        if self.loss.as_ref().is_some_and(|(at, _)| now.saturating_sub(*at) < REPLICAS_TIME) {
            segments.extend(self.replicas.segments(now).map(|(_, segment)| segment.clone()));
        }
        store.write(Entry {
            process: self.name.clone(),
            restores: store.restores,
            steps_left: LEASE_STEPS,
            segments,
            orphans: self.orphans(now),
        });
        if self.knows_others && self.in_use != versions {
            store.in_use = Some((self.name.clone(), versions.clone()));
            self.in_use.clone_from(&versions);
        }
        self.was_written = true;
        self.ledger.set_unstored(!self.knows_others);
        self.named = versions;
    }

    /// Returns what it knows of versions, for journals that it has read.
    pub(crate) fn outlook(&self, restores: u64, now: Duration) -> Outlook {
        let (known, since) = self.history.unwrap_or_default();
        let is_same = known == restores;
        let loss = self.loss.as_ref().filter(|(at, _)| now.saturating_sub(*at) < Loss::MAX_AGE);
        let loss = loss.map(|(at, versions)| Loss { age: now - *at, versions: versions.clone() });
        Outlook {
            versions: self.ledger.versions(now),
            age: if is_same { now.saturating_sub(since) } else { Duration::ZERO },
            is_first: is_same && self.is_first,
            loss,
            orphans: self.orphans(now),
        }
    }

    /// Returns what it knows of a stream itself.
    pub(crate) fn find(&self, stream: StreamId) -> Option<&str> {
        self.ledger.find(SERVICE, stream).or_else(|| self.replicas.find(SERVICE, stream))
    }

    fn set_lost(&mut self, now: Duration) {
        self.loss = Some((now, self.ledger.versions_until(self.away_since, now)));
    }

    fn orphans(&self, now: Duration) -> Segment {
        if self.outage.is_away() { self.ledger.versions(now) } else { self.outage.last(now) }
    }
}

/// Whether a journal names several versions.
pub(crate) fn is_mixed(journal: &Journal) -> bool {
    journal.versions(SERVICE).len() > 1
}

/// Whether a segment names a version.
pub(crate) fn has(segment: &Segment, version: &str) -> bool {
    segment.rows.iter().any(|row| row.version == version)
}
