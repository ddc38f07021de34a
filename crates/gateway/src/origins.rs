//! Which versions began the streams that clients take up, as this gateway knows it.

use std::mem;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use policy::origin;
use policy::origin::Journal;
use policy::origin::Ledger;
use policy::origin::Loss;
use policy::origin::Origin;
use policy::origin::Outlook;
use policy::origin::Row;
use policy::origin::Segment;
use policy::origin::StreamId;
use route::Endpoint;
use services::store::Entry;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::history::History;
use crate::progress::Progress;
use crate::record;

/// Longest time for which a request to resume a stream waits until the version that began it is
/// known: a read of the store, or what endpoints and gateways take to write again after it has come
/// back from a copy.
const FIND_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Interval between reads of the store while others may still write what it lacks.
const PENDING_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for which the first events of a stream are held back until both the store and another
/// gateway have its version. It is short against the time to a first token.
const HOLD_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest time after that until one of them has it. A client that waits longer does better to begin
/// the stream at another gateway.
const SECURE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after a stream could not be recorded in which no other one begins: the store is tried again
/// once a second.
const UNSECURED_PAUSE: Duration = Duration::from_millis(1_000);

/// The streams that began here, and those of other gateways as last read from the store.
///
/// Requests are handled on other threads than calls of the store, so they ask for a read by
/// raising `wanted`, and wait until a reading covers it.
#[derive(Debug)]
pub(crate) struct Origins {
    ledger: Mutex<Ledger>,
    /// Streams that other gateways have replicated here. A store that comes back from a copy may lack
    /// them.
    replicas: Mutex<Ledger>,
    /// Streams of gateways that can't write to the store, which this one stores for them.
    adopted: Mutex<Ledger>,
    /// Versions that the store has of this gateway, sorted by service and version.
    stored_versions: Mutex<Arc<Vec<(String, String)>>>,
    /// Number of the last stream that was recorded.
    recorded: AtomicU64,
    /// How far the streams are stored.
    pub(crate) stored: Progress,
    /// How far the streams are replicated to other gateways.
    pub(crate) replicated: Progress,
    /// Whether tasks store and replicate streams. Where none does, streams don't wait for them.
    is_kept: AtomicBool,
    /// Whether the last write of streams failed, or takes long.
    is_failing: AtomicBool,
    /// Until this time streams that have to be recorded don't begin here.
    unsecured_until: Mutex<Duration>,
    /// Time at which the store had last lost journals.
    lost_at: Mutex<Option<Duration>>,
    /// Common prefix of the keys of this process, once it has written them.
    journal: Mutex<Option<String>>,
    /// Whether the store may have lost the keys of this process.
    is_journal_doubtful: AtomicBool,
    /// Streams whose versions the next read looks up at other gateways. Their rows have no versions.
    asked: Mutex<Segment>,
    /// Signals that there is something to store.
    pub(crate) changed: Notify,
    /// Signals that there is something to replicate.
    pub(crate) has_recent: Notify,
    /// Number of the last read that was asked for.
    pub(crate) wanted: watch::Sender<u64>,
    /// Result of the last read.
    pub(crate) reading: watch::Sender<Reading>,
}

/// Result of a read of the store.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reading {
    /// The last read that it answers.
    pub(crate) number: u64,
    /// What all gateways have stored; `None` if the store could not be read.
    pub(crate) stored: Option<Arc<Stored>>,
}

/// What all gateways have stored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Stored {
    /// Number of restores of the store when it was read.
    pub(crate) restores: u64,
    /// A journal for each process.
    pub(crate) journals: Vec<Journal>,
}

impl Default for Origins {
    fn default() -> Origins {
        Origins {
            ledger: Mutex::default(),
            replicas: Mutex::default(),
            adopted: Mutex::default(),
            stored_versions: Mutex::default(),
            recorded: AtomicU64::default(),
            stored: Progress::default(),
            replicated: Progress::default(),
            is_kept: AtomicBool::default(),
            is_failing: AtomicBool::default(),
            unsecured_until: Mutex::default(),
            lost_at: Mutex::default(),
            journal: Mutex::default(),
            is_journal_doubtful: AtomicBool::default(),
            asked: Mutex::default(),
            changed: Notify::new(),
            has_recent: Notify::new(),
            wanted: watch::Sender::default(),
            reading: watch::Sender::default(),
        }
    }
}

impl Origins {
    /// Records the versions of all announced endpoints.
    pub(crate) fn announce(&self, endpoints: &[Arc<Endpoint>], now: Duration) {
        let mut ledger = self.ledger.lock();
        for endpoint in endpoints {
            ledger.announce(&endpoint.service, &endpoint.version, now);
        }
    }

    /// Records the endpoint that sent the first event of a stream, and waits until others know it if they
    /// can't tell its version otherwise. Returns whether they can, so that the event may be sent: a
    /// stream that nobody else knows would go on at any version if this process ended. See
    /// `docs/decisions/versions.md`.
    ///
    /// A stream that breaks off sooner has not begun for its client, which can begin it anew at any
    /// version.
    pub(crate) async fn record(
        &self,
        endpoint: &Endpoint,
        stream: StreamId,
        now: Duration,
    ) -> bool {
        let is_recorded = {
            let mut ledger = self.ledger.lock();
            ledger.record(&endpoint.service, &endpoint.version, stream, now);
            ledger.is_recorded(&endpoint.service, now)
        };
        if !is_recorded {
            return true;
        }
        let number = self.recorded.fetch_add(1, Ordering::SeqCst) + 1;
        self.changed.notify_one();
        self.has_recent.notify_one();
        let tried = async {
            self.stored.wait_tried(number).await;
            self.replicated.wait_tried(number).await;
        };
        let _ = timeout(HOLD_TIMEOUT, tried).await;
        if !self.is_kept.load(Ordering::SeqCst) {
            return true;
        }
        let secured = async {
            tokio::select! {
                () = self.stored.wait_done(number) => {}
                () = self.replicated.wait_done(number) => {}
            }
        };
        let is_secured = timeout(SECURE_TIMEOUT, secured).await.is_ok();
        let waited = HOLD_TIMEOUT + SECURE_TIMEOUT;
        *self.unsecured_until.lock() =
            if is_secured { Duration::ZERO } else { now + waited + UNSECURED_PAUSE };
        if !is_secured {
            record::unsecured(endpoint);
        }
        is_secured
    }

    /// Returns how long streams of a service are refused, as the last one could not be recorded;
    /// `None` if they may begin.
    pub(crate) fn unsecured_for(&self, service: &str, now: Duration) -> Option<Duration> {
        let left = self.unsecured_until.lock().saturating_sub(now);
        let is_refused = !left.is_zero() && self.ledger.lock().is_recorded(service, now);
        is_refused.then_some(left)
    }

    /// Lets streams wait for the tasks that store and replicate them. Until the store has the versions
    /// of this gateway, all streams have to be recorded.
    pub(crate) fn set_kept(&self) {
        self.is_kept.store(true, Ordering::SeqCst);
        self.ledger.lock().set_unstored(true);
    }

    /// Sets whether the last write of streams failed, or takes long. If so, those that were replicated
    /// lately are replicated once more, as others have to store them.
    pub(crate) fn set_failing(&self, is_failing: bool) {
        if !self.is_failing.swap(is_failing, Ordering::SeqCst) && is_failing {
            self.has_recent.notify_one();
        }
    }

    /// Whether the last write of streams failed, or takes long, so that others have to store them.
    pub(crate) fn is_failing(&self) -> bool {
        self.is_failing.load(Ordering::SeqCst)
    }

    /// Returns the number of the last stream that was recorded.
    pub(crate) fn recorded(&self) -> u64 {
        self.recorded.load(Ordering::SeqCst)
    }

    /// Returns the version that began a stream of a service, which may have no id; `None` if that can't
    /// be found out before the deadline. `history` returns what the endpoints were read from, and the time.
    pub(crate) async fn find(
        &self,
        service: &str,
        stream: Option<StreamId>,
        deadline: Instant,
        history: impl Fn() -> (History, Duration),
    ) -> Option<Arc<str>> {
        if let Some(version) = self.find_here(service, stream) {
            return Some(version);
        }
        let deadline = deadline.min(Instant::now() + FIND_TIMEOUT);
        loop {
            let stored = self.read(service, stream, deadline).await;
            // Other gateways may have sent what they know of it.
            if let Some(version) = self.find_here(service, stream) {
                return Some(version);
            }
            let Some(stored) = stored else {
                record::unknown_version(service, "unread", &Stored::default());
                return None;
            };
            let (history, now) = history();
            let outlook = self.outlook(stored.restores, &history, now);
            match origin::resolve(&stored.journals, &outlook, service, stream) {
                Origin::Version(version) => {
                    let find = |stream| origin::find(&stored.journals, service, stream);
                    let is_stored = stream.and_then(find).is_some();
                    let source = if is_stored { "stored" } else { "inferred" };
                    record::known_version(service, stream, version, source);
                    return Some(Arc::from(version));
                }
                Origin::Pending if Instant::now() + PENDING_INTERVAL < deadline => {
                    sleep(PENDING_INTERVAL).await;
                }
                Origin::Pending => {
                    record::unknown_version(service, "pending", &stored);
                    return None;
                }
                Origin::Unknown => {
                    record::unknown_version(service, "not_stored", &stored);
                    return None;
                }
            }
        }
    }

    /// Returns the version that began a stream as far as this gateway knows it without asking.
    fn find_here(&self, service: &str, stream: Option<StreamId>) -> Option<Arc<str>> {
        let (version, source) = self.known(service, stream?)?;
        record::known_version(service, stream, &version, source);
        Some(version)
    }

    /// Returns the version of a stream that began here or was replicated here, and which of both it is.
    fn known(&self, service: &str, stream: StreamId) -> Option<(Arc<str>, &'static str)> {
        [(&self.ledger, "own"), (&self.replicas, "replica")].into_iter().find_map(
            |(ledger, source)| {
                let ledger = ledger.lock();
                ledger.find(service, stream).map(|version| (Arc::from(version), source))
            },
        )
    }

    /// Returns what all gateways have stored, by a read that begins now and also looks the stream up at
    /// other gateways; `None` if that fails or doesn't end before the deadline.
    async fn read(
        &self,
        service: &str,
        stream: Option<StreamId>,
        deadline: Instant,
    ) -> Option<Arc<Stored>> {
        if let Some(stream) = stream {
            self.asked.lock().add(service, "", stream);
        }
        let mut reading = self.reading.subscribe();
        let mut number = 0;
        self.wanted.send_modify(|wanted| {
            *wanted += 1;
            number = *wanted;
        });
        let read = reading.wait_for(|reading| reading.number >= number);
        timeout_at(deadline, read).await.ok()?.ok()?.stored.clone()
    }

    /// Returns what this gateway itself knows of versions, to go with what was stored when the store
    /// had come back from a copy this often.
    fn outlook(&self, restores: u64, history: &History, now: Duration) -> Outlook {
        let lost_at = *self.lost_at.lock();
        let ledger = self.ledger.lock();
        let versions = ledger.versions(now);
        let loss = lost_at.map(|at| Loss {
            age: now.saturating_sub(at),
            versions: ledger.versions_until(at + Loss::SETTLE_TIME, now),
        });
        // The endpoints may not have been read since the last restore.
        let is_same = history.restores == restores;
        let age = if is_same { now.saturating_sub(history.since) } else { Duration::ZERO };
        let loss = loss.filter(|loss| loss.age < Loss::MAX_AGE);
        Outlook { versions, age, is_first: is_same && history.is_first, loss }
    }

    /// Records that the store has lost journals. All streams have to be recorded until it has that of this
    /// gateway again.
    pub(crate) fn set_lost(&self, now: Duration) {
        log::warn!("the store has lost the streams of this gateway; they are written again");
        *self.lost_at.lock() = Some(now);
        *self.stored_versions.lock() = Arc::default();
        self.ledger.lock().set_unstored(true);
    }

    /// Records the common prefix of the keys of this process, which it has written.
    pub(crate) fn set_journal(&self, prefix: &str) {
        *self.journal.lock() = Some(prefix.to_owned());
    }

    /// Checks whether the keys of this process are among those that the store has, and has the task
    /// that writes them check its lease if they are not.
    pub(crate) fn check_journal(&self, entries: &[Entry]) {
        let journal = self.journal.lock().clone();
        let has_key = |prefix: String| entries.iter().any(|entry| entry.key.starts_with(&prefix));
        if journal.is_some_and(|prefix| !has_key(prefix)) {
            self.is_journal_doubtful.store(true, Ordering::SeqCst);
            self.changed.notify_one();
        }
    }

    /// Whether the store may have lost the keys of this process since the last call.
    pub(crate) fn take_doubt(&self) -> bool {
        self.is_journal_doubtful.swap(false, Ordering::SeqCst)
    }

    /// Returns what is to be stored: the versions, and the segments with their places in a ring.
    pub(crate) fn to_store(&self, now: Duration) -> (Segment, Vec<(u64, Segment)>) {
        let ledger = self.ledger.lock();
        (ledger.versions(now), ledger.mixed_segments(now))
    }

    /// Returns the streams of other gateways that this one stores, with their places in a ring: those
    /// that it has adopted, or all that were replicated here.
    pub(crate) fn replicas_to_store(&self, has_all: bool, now: Duration) -> Vec<(u64, Segment)> {
        let replicas = if has_all { &self.replicas } else { &self.adopted };
        let replicas = replicas.lock();
        replicas.segments(now).map(|(place, segment)| (place, segment.clone())).collect()
    }

    /// Records streams that another gateway has replicated.
    pub(crate) fn learn(&self, streams: &Segment, now: Duration) {
        self.replicas.lock().learn(streams, now);
    }

    /// Records streams that another gateway has replicated and can't store, to store them for it.
    pub(crate) fn adopt(&self, streams: &Segment, now: Duration) {
        self.learn(streams, now);
        self.adopted.lock().learn(streams, now);
        self.changed.notify_one();
    }

    /// Records versions that other gateways may use.
    pub(crate) fn learn_versions(&self, stored: &Stored, now: Duration) {
        let mut ledger = self.ledger.lock();
        let segments = stored.journals.iter().flat_map(|journal| &journal.segments);
        for row in segments.flat_map(|segment| &segment.rows) {
            ledger.announce(&row.service, &row.version, now);
        }
    }

    /// Returns the versions of those streams of a segment that began here or were replicated here.
    pub(crate) fn look_up(&self, asked: &Segment) -> Segment {
        let mut found = Segment::default();
        for row in &asked.rows {
            for stream in &row.streams {
                if let Some((version, _)) = self.known(&row.service, *stream) {
                    found.add(&row.service, &version, *stream);
                }
            }
        }
        found
    }

    /// Removes and returns the streams that the next read looks up at other gateways.
    pub(crate) fn take_asked(&self) -> Segment {
        mem::take(&mut self.asked.lock())
    }

    /// Returns the streams that began since a time and are to be replicated.
    pub(crate) fn recent_since(&self, since: Duration, now: Duration) -> Segment {
        self.ledger.lock().recent_since(since, now)
    }

    /// Sets the versions that the store has of this gateway; the streams of services of which it has
    /// all versions of others need not be recorded if there is one only.
    pub(crate) fn set_stored_versions(&self, versions: &Segment, is_complete: bool) {
        self.ledger.lock().set_unstored(!is_complete);
        let rows = versions.rows.iter();
        let rows = rows.map(|row| (row.service.clone(), row.version.clone()));
        *self.stored_versions.lock() = Arc::new(rows.collect());
    }

    /// Whether the store has the versions of all streams of a segment of this gateway. Those of streams
    /// that it lacks are unknown then, and not taken for those of another version.
    pub(crate) fn has_stored(&self, streams: &Segment) -> bool {
        let stored = self.stored_versions();
        let is_stored = |row: &Row| {
            let key = (row.service.as_str(), row.version.as_str());
            let find = |other: &(String, String)| (other.0.as_str(), other.1.as_str()).cmp(&key);
            stored.binary_search_by(find).is_ok()
        };
        streams.rows.iter().all(is_stored)
    }

    /// Returns the versions that the store has of this gateway, sorted by service and version. New
    /// streams begin there: to other gateways it looks as if this one used no other version.
    pub(crate) fn stored_versions(&self) -> Arc<Vec<(String, String)>> {
        Arc::clone(&self.stored_versions.lock())
    }
}
