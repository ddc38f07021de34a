//! The versions and streams that one gateway knows.

use std::time::Duration;

use crate::origin::Row;
use crate::origin::Segment;
use crate::origin::StreamId;

/// How long a version counts as in use after it was last announced: longer than a client takes to
/// come back for a stream.
const VERSION_TTL: Duration = Duration::from_secs(60);

/// Time of the streams of one segment. Each new stream has its segment written anew.
const SEGMENT_TIME: Duration = Duration::from_secs(4);

/// Segments that are kept: together they cover the longest time from the first event of a stream
/// until a client has come back for it.
const SEGMENTS: u64 = 8;

/// How long a new stream is replicated to other gateways: four of their exchanges, so that some of
/// them may fail.
const REPLICATION_TIME: Duration = Duration::from_millis(1_100);

/// Most streams that are replicated at a time.
const MAX_REPLICATED: usize = 2_048;

/// The versions that were announced lately, and the streams that this gateway has begun.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// Sorted by service and version.
    versions: Vec<Announced>,
    /// Whether the store has no versions of this gateway, so that it has to record the streams of all
    /// services.
    is_unstored: bool,
    /// With their numbers, the oldest one first.
    segments: Vec<(u64, Segment)>,
    /// Streams that are being replicated, with the time at which that began, in that order.
    recent: Vec<(Duration, Stream)>,
    /// Number of the last segment that could not take all streams.
    overfull: Option<u64>,
}

/// A version of a service that was announced lately.
#[derive(Debug, Clone)]
struct Announced {
    service: String,
    version: String,
    /// Time of the first announcement.
    first: Duration,
    /// Time of the last announcement.
    last: Duration,
}

/// A stream of a version of a service.
#[derive(Debug, Clone)]
struct Stream {
    service: String,
    version: String,
    id: StreamId,
}

impl Ledger {
    /// Records that a version of a service is announced.
    pub fn announce(&mut self, service: &str, version: &str, now: Duration) {
        let key = (service, version);
        let find = |row: &Announced| (row.service.as_str(), row.version.as_str()).cmp(&key);
        match self.versions.binary_search_by(find) {
            Ok(index) => self.versions[index].last = now,
            Err(index) => {
                let was_mixed = self.is_mixed(service, now);
                let (service, version) = (service.to_owned(), version.to_owned());
                let announced = Announced { service, version, first: now, last: now };
                self.versions.insert(index, announced);
                if !was_mixed && self.is_mixed(key.0, now) {
                    self.replicate_all(key.0, now);
                }
            }
        }
    }

    /// Sets whether the store has no versions of this gateway.
    pub fn set_unstored(&mut self, is_unstored: bool) {
        self.is_unstored = is_unstored;
    }

    /// Replicates all streams of a service, which until now had a single version.
    fn replicate_all(&mut self, service: &str, now: Duration) {
        let rows = self.segments.iter().flat_map(|(_, segment)| &segment.rows);
        for row in rows.filter(|row| row.service == service) {
            let streams = row.streams.iter().map(|id| {
                let (service, version) = (row.service.clone(), row.version.clone());
                (now, Stream { service, version, id: *id })
            });
            self.recent.extend(streams);
        }
    }

    /// Returns the streams that have to be recorded, began since a time and are still to be replicated
    /// to other gateways.
    pub fn recent_since(&self, since: Duration, now: Duration) -> Segment {
        let mut segment = Segment::default();
        let since = since.max(now.saturating_sub(REPLICATION_TIME));
        let recent = self.recent.iter().rev().filter(|(at, _)| *at >= since);
        for (_, Stream { service, version, id }) in recent.take(MAX_REPLICATED) {
            if self.is_recorded(service, now) {
                segment.add(service, version, *id);
            }
        }
        segment
    }

    /// Records streams that another gateway has replicated. It may have corrected a version since.
    pub fn learn(&mut self, segment: &Segment, now: Duration) {
        for row in &segment.rows {
            for stream in &row.streams {
                let known = self.find(&row.service, *stream);
                if known == Some(&row.version) {
                    continue;
                }
                if known.is_some() {
                    self.remove(&row.service, *stream);
                }
                self.add(&row.service, &row.version, *stream, now);
            }
        }
    }

    /// Records that a stream began at another version than was recorded.
    pub fn correct(&mut self, service: &str, version: &str, stream: StreamId, now: Duration) {
        self.remove(service, stream);
        self.record(service, version, stream, now);
    }

    fn remove(&mut self, service: &str, stream: StreamId) {
        self.segments.iter_mut().for_each(|(_, segment)| segment.remove(service, stream));
        self.recent.retain(|(_, it)| it.id != stream || it.service != service);
    }

    /// Records the version that began a stream.
    pub fn record(&mut self, service: &str, version: &str, stream: StreamId, now: Duration) {
        self.add(service, version, stream, now);
        let (service, version) = (service.to_owned(), version.to_owned());
        self.recent.push((now, Stream { service, version, id: stream }));
    }

    fn add(&mut self, service: &str, version: &str, stream: StreamId, now: Duration) {
        self.forget(now);
        self.announce(service, version, now);
        let number = number(now);
        if self.segments.last().is_none_or(|(last, _)| *last != number) {
            self.segments.push((number, Segment::default()));
        }
        let Some((_, segment)) = self.segments.last_mut() else { return };
        let streams: usize = segment.rows.iter().map(|row| row.streams.len()).sum();
        // Later ones stay unknown to other gateways.
        if streams < Segment::MAX_STREAMS {
            segment.add(service, version, stream);
        } else {
            self.overfull = Some(number);
        }
    }

    /// Whether it has all streams that clients still come back for.
    pub fn has_all(&self, now: Duration) -> bool {
        self.overfull.is_none_or(|last| last < number(now).saturating_sub(SEGMENTS - 1))
    }

    /// Returns the version that began a stream here; `None` if it did not begin here lately.
    pub fn find(&self, service: &str, stream: StreamId) -> Option<&str> {
        let rows = self.segments.iter().rev().flat_map(|(_, segment)| &segment.rows);
        let mut rows = rows.filter(|row| row.service == service);
        rows.find(|row| row.streams.contains(&stream)).map(|row| row.version.as_str())
    }

    /// Returns the versions that may have begun streams lately.
    pub fn versions(&self, now: Duration) -> Segment {
        self.versions_until(now, now)
    }

    /// Returns those of the versions in use that were first announced until a time.
    pub fn versions_until(&self, until: Duration, now: Duration) -> Segment {
        let mut segment = Segment::default();
        let rows = self.versions.iter().filter(|row| !row.is_over(now) && row.first <= until);
        rows.for_each(|row| {
            segment.row(&row.service, &row.version);
        });
        segment
    }

    /// Whether a service has had several versions lately.
    pub fn is_mixed(&self, service: &str, now: Duration) -> bool {
        let rows = self.versions.iter().filter(|row| row.service == service && !row.is_over(now));
        rows.count() > 1
    }

    /// Whether each stream of a service has to be recorded elsewhere before its first event is sent:
    /// others can't tell its version by the versions that they know of this gateway.
    pub fn is_recorded(&self, service: &str, now: Duration) -> bool {
        self.is_unstored || self.is_mixed(service, now)
    }

    /// Returns the streams that have to be recorded, in segments with their places in a ring. The others
    /// need not be stored: all their streams have the same version.
    pub fn mixed_segments(&self, now: Duration) -> Vec<(u64, Segment)> {
        let is_recorded = |row: &&Row| self.is_recorded(&row.service, now);
        let mixed = self.segments(now).map(|(place, segment)| {
            let rows = segment.rows.iter().filter(is_recorded).cloned().collect();
            (place, Segment { rows })
        });
        mixed.filter(|(_, segment)| !segment.rows.is_empty()).collect()
    }

    /// Returns the segments of all streams, with their places in a ring.
    pub fn segments(&self, now: Duration) -> impl Iterator<Item = (u64, &Segment)> {
        let oldest = number(now).saturating_sub(SEGMENTS - 1);
        let segments = self.segments.iter().filter(move |(number, _)| *number >= oldest);
        segments.map(|(number, segment)| (number % SEGMENTS, segment))
    }

    /// Forgets what is over.
    fn forget(&mut self, now: Duration) {
        let oldest = number(now).saturating_sub(SEGMENTS - 1);
        self.segments.retain(|(number, _)| *number >= oldest);
        self.versions.retain(|row| !row.is_over(now));
        self.recent.retain(|(at, _)| now.saturating_sub(*at) <= REPLICATION_TIME);
    }
}

impl Announced {
    /// Whether it is no longer in use.
    fn is_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.last) > VERSION_TTL
    }
}

/// Returns the number of the segment of a time.
fn number(now: Duration) -> u64 {
    now.as_secs() / SEGMENT_TIME.as_secs()
}
