//! The weight store, which serves the weights of models.
//!
//! All streams share one rate limit, and their number is bounded.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::Stream;
use futures_util::stream;
use ntex::http::StatusCode;
use ntex::http::header;
use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::State;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::json;
use crate::server::Server;

/// Size of the largest chunk that is sent at once.
const CHUNK_MAX_BYTES: u64 = 64 << 10;

/// Chunks per second to split a slow rate into, so that it stays smooth.
const MIN_CHUNKS_PER_SECOND: u64 = 20;

/// The contents of every model's weights.
static ZERO_CHUNK: [u8; CHUNK_MAX_BYTES as usize] = [0; CHUNK_MAX_BYTES as usize];

/// Configuration of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Size of each model's weights in bytes.
    pub bytes: u64,
    /// Bytes sent per second over all streams together.
    pub bytes_per_second: u64,
    /// Maximum number of concurrent streams; more are refused with 429.
    pub streams: usize,
}

/// Counters of the weight store since its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Counts {
    /// Streams that are open now.
    pub streams: usize,
    /// Largest number of streams that were open at once.
    pub max_streams: usize,
    /// Streams that were sent completely.
    pub served: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Bytes sent, or reserved for the next chunks of open streams.
    pub bytes: u64,
}

/// The weight store, shared by its routes and streams.
#[derive(Debug)]
struct Store {
    options: Options,
    inner: Mutex<Inner>,
}

/// The store's mutable state.
#[derive(Debug)]
struct Inner {
    counts: Counts,
    /// When the rate limit allows the next chunk to begin.
    next_free: Instant,
}

/// One stream, which counts as open until it is dropped.
struct Fetch {
    store: Arc<Store>,
    remaining: u64,
}

/// Starts the weight store on `listen`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(listen: SocketAddr, options: Options) -> io::Result<Server> {
    let inner = Inner { counts: Counts::default(), next_free: Instant::now() };
    let store = Arc::new(Store { options, inner: Mutex::new(inner) });
    Server::start(listen, move |config| configure(config, &store))
}

/// Adds the routes of the weight store and of its controls under `/standin`.
fn configure(config: &mut ServiceConfig, store: &Arc<Store>) {
    config
        .state(Arc::clone(store))
        .route("/weights/{model}", web::get().to(weights))
        .route("/standin/counts", web::get().to(counts));
}

async fn weights(store: State<Arc<Store>>) -> HttpResponse {
    match Fetch::start(&store) {
        Some(fetch) => HttpResponse::Ok().streaming(fetch.into_chunks()),
        None => too_many_streams(&store),
    }
}

/// Returns a 429 response that suggests a retry after the time that one
/// download takes at the full rate.
fn too_many_streams(store: &Store) -> HttpResponse {
    let seconds = store.options.bytes.div_ceil(store.options.bytes_per_second.max(1)).max(1);
    let mut response = json::problem(StatusCode::TOO_MANY_REQUESTS, "too many streams at once");
    response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    response
}

async fn counts(store: State<Arc<Store>>) -> HttpResponse {
    json::ok(&store.inner.lock().counts)
}

impl Store {
    /// Returns the size of a chunk at the configured rate.
    fn chunk_bytes(&self) -> u64 {
        (self.options.bytes_per_second / MIN_CHUNKS_PER_SECOND).clamp(1, CHUNK_MAX_BYTES)
    }

    /// Reserves `bytes` of the shared rate; returns when they may be sent.
    fn reserve(&self, bytes: u64) -> Instant {
        let rate = self.options.bytes_per_second.max(1) as f64;
        let mut inner = self.inner.lock();
        let start = inner.next_free.max(Instant::now());
        inner.next_free = start + Duration::from_secs_f64(bytes as f64 / rate);
        inner.counts.bytes += bytes;
        inner.next_free
    }
}

impl Fetch {
    /// Opens a stream; returns `None` and counts a refusal at the limit.
    fn start(store: &Arc<Store>) -> Option<Self> {
        let counts = &mut store.inner.lock().counts;
        if counts.streams >= store.options.streams {
            counts.refused += 1;
            return None;
        }
        counts.streams += 1;
        counts.max_streams = counts.max_streams.max(counts.streams);
        Some(Self { store: Arc::clone(store), remaining: store.options.bytes })
    }

    /// Returns the weights as a response body.
    fn into_chunks(self) -> impl Stream<Item = io::Result<Bytes>> + Unpin {
        Box::pin(stream::unfold(self, |mut fetch| async move {
            let chunk = fetch.next_chunk().await?;
            Some((Ok(chunk), fetch))
        }))
    }

    /// Returns the next chunk when the rate limit allows it; `None` at the end.
    async fn next_chunk(&mut self) -> Option<Bytes> {
        if self.remaining == 0 {
            return None;
        }
        let bytes = self.store.chunk_bytes().min(self.remaining);
        sleep_until(self.store.reserve(bytes)).await;
        self.remaining -= bytes;
        Some(Bytes::from_static(&ZERO_CHUNK[..bytes as usize]))
    }
}

impl Drop for Fetch {
    fn drop(&mut self) {
        let counts = &mut self.store.inner.lock().counts;
        counts.streams -= 1;
        counts.served += u64::from(self.remaining == 0);
    }
}
