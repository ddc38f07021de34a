//! Looks streams up in the store and at other gateways.

use std::mem;
use std::sync::Arc;

use parking_lot::Mutex;
use policy::origin::Segment;
use policy::origin::StreamId;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::origins::Reading;
use crate::origins::Stored;

/// Looks streams up in the store and at other gateways.
///
/// Requests are handled on other threads than calls of the store, so they ask for a read by
/// raising `wanted`, and wait until a reading covers it.
#[derive(Debug, Default)]
pub(crate) struct Lookup {
    /// Streams whose versions the next read looks up at other gateways. Their rows have no versions.
    asked: Mutex<Segment>,
    /// Number of the last read that was asked for.
    wanted: watch::Sender<u64>,
    /// Result of the last read.
    reading: watch::Sender<Reading>,
}

impl Lookup {
    /// Returns what all gateways have stored, by a read that begins now and also looks the stream up at
    /// other gateways; `None` if that fails or doesn't end before the deadline.
    pub(crate) async fn read(
        &self,
        service: &str,
        stream: Option<StreamId>,
        deadline: Instant,
    ) -> Option<Arc<Stored>> {
        let mut reading = self.reading.subscribe();
        let mut number = 0;
        {
            // The read with this number has to look the stream up.
            let mut asked = self.asked.lock();
            if let Some(stream) = stream {
                asked.add(service, "", stream);
            }
            self.wanted.send_modify(|wanted| {
                *wanted += 1;
                number = *wanted;
            });
        }
        let read = reading.wait_for(|reading| reading.number >= number);
        timeout_at(deadline, read).await.ok()?.ok()?.stored.clone()
    }

    /// Returns the number of the last read that was asked for, as it changes.
    pub(crate) fn wanted(&self) -> watch::Receiver<u64> {
        self.wanted.subscribe()
    }

    /// Returns the number of the next read, and the streams that it looks up at other gateways, which are
    /// removed.
    pub(crate) fn take(&self) -> (u64, Segment) {
        let mut asked = self.asked.lock();
        (*self.wanted.borrow(), mem::take(&mut asked))
    }

    /// Ends a read.
    pub(crate) fn finish(&self, reading: Reading) {
        self.reading.send_replace(reading);
    }
}
