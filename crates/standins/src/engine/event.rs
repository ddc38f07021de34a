//! Cache events, published late and with gaps.

use std::io;
use std::time::Duration;

use futures_util::Stream;
use futures_util::stream;
use ntex::util::Bytes;
use parking_lot::Mutex;
use serde::Serialize;
use serde::Serializer;
use tokio::sync::broadcast;
use tokio::time::Instant;
use tokio::time::sleep_until;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::Options;
use crate::engine::cache::PrefixHash;

/// Events kept for a slow reader, which misses those before.
const KEPT: usize = 1024;

/// What one use of the cache changed.
#[derive(Debug, Default)]
pub(crate) struct Change {
    pub(crate) stored: Vec<PrefixHash>,
    pub(crate) removed: Vec<PrefixHash>,
}

/// Publishes what the cache stored and removed.
#[derive(Debug)]
pub(crate) struct Events {
    lag: Duration,
    gap: f64,
    seed: u64,
    published: Mutex<u64>,
    sender: broadcast::Sender<Event>,
}

#[derive(Clone, Debug)]
struct Event {
    id: u64,
    due: Instant,
    body: Body,
}

#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Body {
    Stored(#[serde(serialize_with = "hex")] Vec<PrefixHash>),
    Removed(#[serde(serialize_with = "hex")] Vec<PrefixHash>),
}

impl Events {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            lag: options.event_lag,
            gap: options.event_drop_fraction,
            seed: options.seed,
            published: Mutex::default(),
            sender: broadcast::Sender::new(KEPT),
        }
    }

    pub(crate) fn publish(&self, change: Change) {
        if !change.stored.is_empty() {
            self.send(Body::Stored(change.stored));
        }
        if !change.removed.is_empty() {
            self.send(Body::Removed(change.removed));
        }
    }

    /// The events from now on as a response body.
    pub(crate) fn follow(&self) -> impl Stream<Item = io::Result<Bytes>> + Unpin + use<> {
        Box::pin(stream::unfold(self.sender.subscribe(), |mut receiver| async move {
            let event = next(&mut receiver).await?;
            sleep_until(event.due).await;
            Some((Ok(event.text()), receiver))
        }))
    }

    /// Sends an event, unless it falls into a gap, which its number shows.
    fn send(&self, body: Body) {
        let mut published = self.published.lock();
        let id = *published;
        *published += 1;
        let drawn = xxh3_64_with_seed(&id.to_le_bytes(), self.seed) as f64 / u64::MAX as f64;
        if drawn >= self.gap {
            let _ = self.sender.send(Event { id, due: Instant::now() + self.lag, body });
        }
    }
}

impl Event {
    fn text(&self) -> Bytes {
        let data = serde_json::to_string(&self.body).unwrap_or_default();
        Bytes::from(format!("id: {}\ndata: {data}\n\n", self.id))
    }
}

async fn next(receiver: &mut broadcast::Receiver<Event>) -> Option<Event> {
    loop {
        match receiver.recv().await {
            Ok(event) => return Some(event),
            Err(broadcast::error::RecvError::Lagged(_)) => {}
            Err(broadcast::error::RecvError::Closed) => return None,
        }
    }
}

/// Hashes as 16 hexadecimal digits, for JSON numbers lose some of them.
fn hex<S: Serializer>(hashes: &[PrefixHash], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(hashes.iter().map(|hash| format!("{hash:016x}")))
}
