//! Which versions began the streams that clients take up, as this gateway knows it.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use policy::origin;
use policy::origin::Journal;
use policy::origin::Ledger;
use policy::origin::Origin;
use policy::origin::Outlook;
use policy::origin::Segment;
use policy::origin::StreamId;
use route::Endpoint;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::history::History;
use crate::record;

/// Longest time for which a request to resume a stream waits until the version that began it is
/// known: a read of the store, or what endpoints and gateways take to write again after it has come
/// back from a copy.
const FIND_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Interval between reads of the store while others may still write what it lacks.
const PENDING_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for which the first events of a stream are held back until the store has its
/// version. It is short against the time to a first token.
const HOLD_TIMEOUT: Duration = Duration::from_millis(60);

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
    /// Versions that the store has of this gateway, sorted by service and version.
    stored_versions: Mutex<Arc<Vec<(String, String)>>>,
    /// Number of the last stream that was recorded.
    recorded: AtomicU64,
    /// Number of the last stream for which a write was tried.
    tried: watch::Sender<u64>,
    /// Number of the last stream for which replication was tried.
    replicated: watch::Sender<u64>,
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
            stored_versions: Mutex::default(),
            recorded: AtomicU64::default(),
            tried: watch::Sender::default(),
            replicated: watch::Sender::default(),
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

    /// Records the endpoint that sent the first event of a stream, and waits until that is stored
    /// and replicated if the service has several versions.
    ///
    /// A stream that breaks off sooner has not begun for its client, which can begin it anew at any
    /// version. It waits no longer if the write fails, or doesn't end soon.
    pub(crate) async fn record(&self, endpoint: &Endpoint, stream: StreamId, now: Duration) {
        let is_mixed = {
            let mut ledger = self.ledger.lock();
            ledger.record(&endpoint.service, &endpoint.version, stream, now);
            ledger.is_mixed(&endpoint.service, now)
        };
        if !is_mixed {
            return;
        }
        let number = self.recorded.fetch_add(1, Ordering::SeqCst) + 1;
        self.changed.notify_one();
        self.has_recent.notify_one();
        let (mut tried, mut replicated) = (self.tried.subscribe(), self.replicated.subscribe());
        let known = async {
            let _ = tried.wait_for(|tried| *tried >= number).await;
            let _ = replicated.wait_for(|replicated| *replicated >= number).await;
        };
        if timeout(HOLD_TIMEOUT, known).await.is_err() {
            log::debug!(endpoint = &*endpoint.id; "a stream is sent before its version is stored");
        }
    }

    /// Returns the number of the last stream that was recorded.
    pub(crate) fn recorded(&self) -> u64 {
        self.recorded.load(Ordering::SeqCst)
    }

    /// Releases the streams up to a number, for which a write was tried.
    pub(crate) fn set_tried(&self, number: u64) {
        self.tried.send_replace(number);
    }

    /// Releases the streams up to a number, for which replication was tried.
    pub(crate) fn set_replicated(&self, number: u64) {
        self.replicated.send_replace(number);
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
        for (ledger, source) in [(&self.ledger, "own"), (&self.replicas, "replica")] {
            let ledger = ledger.lock();
            if let Some(version) = stream.and_then(|stream| ledger.find(service, stream)) {
                record::known_version(service, stream, version, source);
                return Some(Arc::from(version));
            }
        }
        let deadline = deadline.min(Instant::now() + FIND_TIMEOUT);
        loop {
            let Some(stored) = self.read(deadline).await else {
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

    /// Returns what all gateways have stored, by a read that begins now; `None` if that fails or
    /// doesn't end before the deadline.
    async fn read(&self, deadline: Instant) -> Option<Arc<Stored>> {
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
        let versions = self.ledger.lock().versions(now);
        // The endpoints may not have been read since the last restore.
        let is_same = history.restores == restores;
        let age = if is_same { now.saturating_sub(history.since) } else { Duration::ZERO };
        Outlook { versions, age, is_first: is_same && history.is_first }
    }

    /// Returns what is to be stored: the versions, and the segments with their places in a ring.
    pub(crate) fn to_store(&self, now: Duration) -> (Segment, Vec<(u64, Segment)>) {
        let ledger = self.ledger.lock();
        (ledger.versions(now), ledger.mixed_segments(now))
    }

    /// Returns the replicated streams of other gateways, with their places in a ring.
    pub(crate) fn replicas_to_store(&self, now: Duration) -> Vec<(u64, Segment)> {
        let replicas = self.replicas.lock();
        replicas.segments(now).map(|(place, segment)| (place, segment.clone())).collect()
    }

    /// Records streams that another gateway has replicated.
    pub(crate) fn learn(&self, streams: &Segment, now: Duration) {
        self.replicas.lock().learn(streams, now);
    }

    /// Returns the streams that began since a time and are to be replicated.
    pub(crate) fn recent_since(&self, since: Duration, now: Duration) -> Segment {
        self.ledger.lock().recent_since(since, now)
    }

    /// Sets the versions that the store has of this gateway.
    pub(crate) fn set_stored_versions(&self, versions: &Segment) {
        let rows = versions.rows.iter();
        let rows = rows.map(|row| (row.service.clone(), row.version.clone()));
        *self.stored_versions.lock() = Arc::new(rows.collect());
    }

    /// Returns the versions that the store has of this gateway, sorted by service and version. New
    /// streams begin there: to other gateways it looks as if this one used no other version.
    pub(crate) fn stored_versions(&self) -> Arc<Vec<(String, String)>> {
        Arc::clone(&self.stored_versions.lock())
    }
}
