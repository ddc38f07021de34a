//! An OpenAI-style model engine that batches continuously.
//!
//! Requests wait for a slot in the order of their priority, read the part of
//! their prompt that isn't cached and then make one token after another. The
//! answer is a function of the request alone, so that a caller can check it.

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
mod seat;
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

/// Tokens of an answer whose request sets no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// How the engine behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Models loaded at the start.
    pub models: Vec<String>,
    /// Requests that run at once.
    pub slots: usize,
    /// Whether a better waiting request takes the slot of the worst running one.
    pub preempt: bool,
    /// Time to read one prompt token that isn't cached.
    pub prefill_per_token: Duration,
    /// Time between tokens of a request that runs alone.
    pub token_gap: Duration,
    /// How much each running request stretches the gap between tokens.
    pub batch_slope: f64,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: usize,
    /// Time by which the metrics lag.
    pub load_lag: Duration,
    /// Whether a generation is cancelled when its caller's connection drops.
    pub cancel_on_disconnect: bool,
    /// Whether an order with a lower fence than the highest seen is refused.
    pub check_fence: bool,
    /// URL of the weight store, without which loading takes no time.
    pub weights_url: Option<String>,
    /// Time by which cache events are late.
    pub event_lag: Duration,
    /// Fraction of the cache events that are dropped.
    pub event_drop_fraction: f64,
    /// Seed of the choice of dropped events.
    pub seed: u64,
    /// Bytes of the KV cache of one token.
    pub kv_bytes_per_token: usize,
    /// Start of the numbers in completion ids.
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

/// Faults that are switched on while the engine runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Whether the engine makes no tokens and answers nothing.
    pub freeze: bool,
    /// Factor on all times.
    pub slow_factor: f64,
    /// Whether new requests are refused with 503.
    pub refuse: bool,
    /// Whether streams are cut in the middle.
    pub cut_streams: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self { freeze: false, slow_factor: 1.0, refuse: false, cut_streams: false }
    }
}

/// What the engine did so far.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Counts {
    /// Requests taken in.
    pub accepted: u64,
    /// Generations that came to their end.
    pub finished: u64,
    /// Generations that were cancelled.
    pub cancelled: u64,
    /// Generations that hold a slot.
    pub running: usize,
    /// Generations that wait for a slot.
    pub waiting: usize,
    /// The most generations that held a slot at once.
    pub max_running: usize,
    /// Prompt tokens of the requests taken in.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in the cache.
    pub cached_tokens: u64,
    /// Orders obeyed.
    pub orders: u64,
    /// Orders refused for their fence.
    pub stale_orders: u64,
}

/// Starts the engine.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(listen: SocketAddr, options: Options) -> io::Result<Server> {
    let core = Core::new(options);
    Server::start(listen, move |config| routes::add(config, &core))
}
