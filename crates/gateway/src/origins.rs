//! Which versions began the streams that clients take up, as this gateway knows it.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use policy::origin;
use policy::origin::Ledger;
use policy::origin::Segment;
use policy::origin::StreamId;
use route::Endpoint;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

/// Timeout for the read of the store that a request to resume a stream waits for.
const READ_TIMEOUT: Duration = Duration::from_millis(2_000);

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
    /// Versions for which a write was tried, sorted by service and version.
    tried_versions: Mutex<Arc<Vec<(String, String)>>>,
    /// Number of the last stream that was recorded.
    recorded: AtomicU64,
    /// Number of the last stream for which a write was tried.
    tried: watch::Sender<u64>,
    /// Signals that there is something to store.
    pub(crate) changed: Notify,
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
    pub(crate) segments: Option<Arc<Vec<Segment>>>,
}

impl Default for Origins {
    fn default() -> Origins {
        Origins {
            ledger: Mutex::default(),
            tried_versions: Mutex::default(),
            recorded: AtomicU64::default(),
            tried: watch::Sender::default(),
            changed: Notify::new(),
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
    /// if the service has several versions.
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
        let mut tried = self.tried.subscribe();
        if timeout(HOLD_TIMEOUT, tried.wait_for(|tried| *tried >= number)).await.is_err() {
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

    /// Returns the version that began a stream of a service; `None` if that can't be found out.
    pub(crate) async fn find(&self, service: &str, stream: StreamId) -> Option<Arc<str>> {
        if let Some(version) = self.ledger.lock().find(service, stream) {
            return Some(Arc::from(version));
        }
        let mut reading = self.reading.subscribe();
        let mut number = 0;
        self.wanted.send_modify(|wanted| {
            *wanted += 1;
            number = *wanted;
        });
        let read = reading.wait_for(|reading| reading.number >= number);
        let segments = timeout(READ_TIMEOUT, read).await.ok()?.ok()?.segments.clone()?;
        origin::resolve(&segments, service, stream).map(Arc::from)
    }

    /// Returns what is to be stored: the versions, and the segments with their places in a ring.
    pub(crate) fn to_store(&self, now: Duration) -> (Segment, Vec<(u64, Segment)>) {
        let ledger = self.ledger.lock();
        (ledger.versions(now), ledger.mixed_segments(now))
    }

    /// Sets the versions for which a write was tried.
    pub(crate) fn set_tried_versions(&self, versions: &Segment) {
        let rows = versions.rows.iter();
        let rows = rows.map(|row| (row.service.clone(), row.version.clone()));
        *self.tried_versions.lock() = Arc::new(rows.collect());
    }

    /// Returns the versions for which a write was tried, sorted by service and version. New streams
    /// begin there.
    pub(crate) fn tried_versions(&self) -> Arc<Vec<(String, String)>> {
        Arc::clone(&self.tried_versions.lock())
    }
}
