//! Streams that other gateways have replicated here.

use std::time::Duration;

use parking_lot::Mutex;
use policy::origin::Ledger;
use policy::origin::Segment;
use policy::origin::StreamId;

/// Streams that other gateways have replicated here. A store that comes back from a copy may lack them.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    all: Mutex<Ledger>,
    /// Those of gateways that can't write to the store, which this one stores for them.
    adopted: Mutex<Ledger>,
}

impl Replicas {
    /// Records streams.
    pub(crate) fn learn(&self, streams: &Segment, now: Duration) {
        self.all.lock().learn(streams, now);
    }

    /// Records streams to store them.
    pub(crate) fn adopt(&self, streams: &Segment, now: Duration) {
        self.learn(streams, now);
        self.adopted.lock().learn(streams, now);
    }

    /// Returns the version of a stream.
    pub(crate) fn find(&self, service: &str, stream: StreamId) -> Option<String> {
        self.all.lock().find(service, stream).map(ToOwned::to_owned)
    }

    /// Returns the streams that this gateway stores, with their places in a ring: those that it has
    /// adopted, or all.
    pub(crate) fn to_store(&self, has_all: bool, now: Duration) -> Vec<(u64, Segment)> {
        let ledger = if has_all { &self.all } else { &self.adopted };
        let ledger = ledger.lock();
        ledger.segments(now).map(|(place, segment)| (place, segment.clone())).collect()
    }
}
