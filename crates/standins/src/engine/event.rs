//! Cache events, published with a lag and with gaps.

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

/// Events kept for a slow subscriber, which misses the older ones.
const MAX_BACKLOG_EVENTS: usize = 1024;

/// The changes that one use of the cache made.
#[derive(Debug, Default)]
pub(crate) struct Change {
    pub(crate) stored: Vec<PrefixHash>,
    pub(crate) removed: Vec<PrefixHash>,
}

/// Publishes the blocks that the cache stored and removed.
#[derive(Debug)]
pub(crate) struct Publisher {
    lag: Duration,
    drop_fraction: f64,
    seed: u64,
    /// Number of the next event; dropped events use up a number as well.
    next_id: Mutex<u64>,
    sender: broadcast::Sender<Event>,
}

/// An event with its number and the time at which it is sent to subscribers.
#[derive(Clone, Debug)]
struct Event {
    id: u64,
    due: Instant,
    body: Body,
}

/// The data of an event: hashes of blocks.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Body {
    Stored(#[serde(serialize_with = "hex")] Vec<PrefixHash>),
    Removed(#[serde(serialize_with = "hex")] Vec<PrefixHash>),
}

impl Publisher {
    /// Creates a publisher without subscribers.
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            lag: options.event_lag,
            drop_fraction: options.event_drop_fraction,
            seed: options.seed,
            next_id: Mutex::default(),
            sender: broadcast::Sender::new(MAX_BACKLOG_EVENTS),
        }
    }

    /// Publishes the stored blocks as one event and the removed ones as another.
    pub(crate) fn publish(&self, change: Change) {
        if !change.stored.is_empty() {
            self.send(Body::Stored(change.stored));
        }
        if !change.removed.is_empty() {
            self.send(Body::Removed(change.removed));
        }
    }

    /// Returns the events from now on as a response body.
    pub(crate) fn subscribe(&self) -> impl Stream<Item = io::Result<Bytes>> + Unpin + use<> {
        Box::pin(stream::unfold(self.sender.subscribe(), |mut receiver| async move {
            let event = receive(&mut receiver).await?;
            sleep_until(event.due).await;
            Some((Ok(event.encode()), receiver))
        }))
    }

    /// Sends an event or drops it, as the seed and its number decide. Subscribers
    /// see a dropped event as a gap in the numbers.
    fn send(&self, body: Body) {
        let mut next_id = self.next_id.lock();
        let id = *next_id;
        *next_id += 1;
        let drawn = xxh3_64_with_seed(&id.to_le_bytes(), self.seed) as f64 / u64::MAX as f64;
        if drawn >= self.drop_fraction {
            let _ = self.sender.send(Event { id, due: Instant::now() + self.lag, body });
        }
    }
}

impl Event {
    /// Returns the event in the format of server-sent events.
    fn encode(&self) -> Bytes {
        let data = serde_json::to_string(&self.body).unwrap_or_default();
        Bytes::from(format!("id: {}\ndata: {data}\n\n", self.id))
    }
}

/// Receives the next event, skipping over those missed; `None` if the publisher
/// is gone.
async fn receive(receiver: &mut broadcast::Receiver<Event>) -> Option<Event> {
    loop {
        match receiver.recv().await {
            Ok(event) => return Some(event),
            Err(broadcast::error::RecvError::Lagged(_)) => {}
            Err(broadcast::error::RecvError::Closed) => return None,
        }
    }
}

/// Serialises hashes as 16 hexadecimal digits, because a JSON number can't hold
/// 64 bits without loss in all parsers.
fn hex<S: Serializer>(hashes: &[PrefixHash], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(hashes.iter().map(|hash| format!("{hash:016x}")))
}
