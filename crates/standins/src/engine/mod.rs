//! An OpenAI-style model engine with continuous batching.
//!
//! Requests wait for a slot in order of priority, prefill the part of their
//! prompt that isn't in the prefix cache and then decode one token after
//! another. The answer depends on nothing but the request, so that a caller can
//! verify it.

mod answer;
mod cache;
mod core;
mod event;
mod generation;
mod load;
mod loading;
mod order;
mod request;
mod routes;
mod scheduler;
mod stream;
mod transfer;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::core::Core;
use crate::server::Server;

pub use crate::engine::answer::answer;
pub use crate::engine::request::Content;
pub use crate::engine::request::Message;
pub use crate::engine::request::Part;

/// Number of tokens in an answer whose request sets no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// Configuration of the engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// Number of requests that run at once.
    pub slots: usize,
    /// Whether a waiting request preempts the least urgent running one, if that is
    /// less urgent.
    pub preempt: bool,
    /// Time to prefill one prompt token that isn't cached.
    pub prefill_per_token: Duration,
    /// Time between two tokens at a `batch_slope` of 0.
    pub token_gap: Duration,
    /// Fraction by which each running request lengthens `token_gap`.
    pub batch_slope: f64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: usize,
    /// Time by which the metrics lag behind the load.
    pub load_lag: Duration,
    /// Whether a generation is cancelled when its caller's connection drops.
    pub cancel_on_disconnect: bool,
    /// Whether an order with a lower fencing token than the highest seen is
    /// refused.
    pub check_fence: bool,
    /// URL of the weight store; without one, models load at once.
    pub weights_url: Option<String>,
    /// Time by which cache events are delayed.
    pub event_lag: Duration,
    /// Fraction of the cache events that are dropped.
    pub event_drop_fraction: f64,
    /// Seed that selects the dropped events.
    pub seed: u64,
    /// Size of the KV cache of one token in bytes.
    pub kv_bytes_per_token: usize,
    /// Text before the number in completion ids.
    pub id_prefix: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            models: vec![String::from("small")],
            slots: 8,
            preempt: false,
            prefill_per_token: Duration::from_micros(20),
            token_gap: Duration::from_millis(10),
            batch_slope: 0.0,
            cache_tokens: 100_000,
            load_lag: Duration::ZERO,
            cancel_on_disconnect: false,
            check_fence: false,
            weights_url: None,
            event_lag: Duration::ZERO,
            event_drop_fraction: 0.0,
            seed: 0,
            kv_bytes_per_token: 64,
            id_prefix: String::new(),
        }
    }
}

/// Fault injection, set as a whole by `POST /standin/faults`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Whether the engine makes no tokens and answers no calls.
    pub freeze: bool,
    /// Factor by which prefill and token gaps are multiplied.
    pub slow_factor: f64,
    /// Whether new requests are refused with 503.
    pub refuse: bool,
    /// Whether streams break off before their end.
    pub cut_streams: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self { freeze: false, slow_factor: 1.0, refuse: false, cut_streams: false }
    }
}

/// Counters since the start, and the current and highest numbers of generations.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Counts {
    /// Requests accepted.
    pub accepted: u64,
    /// Generations that were completed.
    pub finished: u64,
    /// Generations that were cancelled.
    pub cancelled: u64,
    /// Generations that hold a slot now.
    pub running: usize,
    /// Generations that wait for a slot now.
    pub waiting: usize,
    /// Largest number of generations that held a slot at once.
    pub max_running: usize,
    /// Prompt tokens of the accepted requests.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Orders executed.
    pub orders: u64,
    /// Orders refused because of their fencing token.
    pub stale_orders: u64,
}

/// Starts the engine on `listen`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(listen: SocketAddr, options: Options) -> io::Result<Server> {
    let core = Core::new(options);
    Server::start(listen, move |config| routes::configure(config, &core))
}
