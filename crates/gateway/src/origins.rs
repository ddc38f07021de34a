//! Which versions began the streams that clients take up, as this gateway knows it.

use std::sync::Arc;
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

/// How long a client that takes up a stream waits for the store.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// The streams that began here, and what was read of the other gateways' ones.
///
/// Requests are handled on other threads than calls of the store, so they ask for a read by
/// raising `wanted`, and wait until a reading covers it.
#[derive(Debug)]
pub(crate) struct Origins {
    ledger: Mutex<Ledger>,
    /// Versions that the store has acknowledged, sorted by service and version.
    stored: Mutex<Arc<Vec<(String, String)>>>,
    /// Signals that there is something to store.
    pub(crate) changed: Notify,
    /// Number of the last read that was asked for.
    pub(crate) wanted: watch::Sender<u64>,
    /// The last reading.
    pub(crate) reading: watch::Sender<Reading>,
}

/// What was read from the store.
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
            stored: Mutex::default(),
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

    /// Records the endpoint that sent the first event of a stream.
    pub(crate) fn record(&self, endpoint: &Endpoint, stream: StreamId, now: Duration) {
        self.ledger.lock().record(&endpoint.service, &endpoint.version, stream, now);
        self.changed.notify_one();
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

    /// Sets the versions that the store has acknowledged.
    pub(crate) fn set_stored(&self, versions: &Segment) {
        let rows = versions.rows.iter();
        let rows = rows.map(|row| (row.service.clone(), row.version.clone()));
        *self.stored.lock() = Arc::new(rows.collect());
    }

    /// Returns the versions that the store has acknowledged, sorted by service and version.
    pub(crate) fn stored(&self) -> Arc<Vec<(String, String)>> {
        Arc::clone(&self.stored.lock())
    }
}
