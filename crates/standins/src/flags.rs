//! The command line of `standin`.

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use argh::FromArgs;
use standins::engine;
use standins::key_value;
use standins::registry;
use standins::vms;
use standins::weights;

/// Runs one stand-in for an outside system.
#[derive(Debug, FromArgs)]
pub struct Flags {
    #[argh(subcommand)]
    pub command: Command,
}

/// The stand-in to run, with its options.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    KeyValue(KeyValue),
    Vms(Vms),
    Engine(Engine),
    Registry(Registry),
    Weights(Weights),
}

/// serve the store of the users' platform
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key-value")]
pub struct KeyValue {
    /// address to listen on; port 0 takes a free one
    #[argh(option, default = "loopback()")]
    pub listen: SocketAddr,
    /// reads answered in a second; 0 sets no limit
    #[argh(option, default = "0")]
    pub reads_per_second: u32,
    /// writes answered in a second; 0 sets no limit
    #[argh(option, default = "0")]
    pub writes_per_second: u32,
}

impl KeyValue {
    /// Returns the options that the flags set.
    pub fn options(&self) -> key_value::Options {
        key_value::Options {
            reads_per_second: self.reads_per_second,
            writes_per_second: self.writes_per_second,
        }
    }
}

/// Serves the lagging list of VMs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "vms")]
pub struct Vms {
    /// address to listen on; port 0 takes a free one
    #[argh(option, default = "loopback()")]
    pub listen: SocketAddr,
    /// milliseconds until the list shows a change
    #[argh(option, default = "0")]
    pub lag_ms: u64,
    /// further milliseconds, up to this many, that differ by reader
    #[argh(option, default = "0")]
    pub disagree_ms: u64,
    /// seed of the differences between readers
    #[argh(option, default = "0")]
    pub seed: u64,
    /// file with the first list, a JSON array of VMs
    #[argh(option)]
    pub file: Option<PathBuf>,
}

impl Vms {
    /// Returns the options that the flags set.
    ///
    /// # Errors
    ///
    /// Fails if the file with the first list can't be read or parsed.
    pub fn options(&self) -> Result<vms::Options, Box<dyn Error>> {
        let initial_vms = match &self.file {
            Some(path) => serde_json::from_str(&fs::read_to_string(path)?)?,
            None => Vec::new(),
        };
        Ok(vms::Options {
            lag: Duration::from_millis(self.lag_ms),
            max_reader_lag: Duration::from_millis(self.disagree_ms),
            seed: self.seed,
            initial_vms,
        })
    }
}

/// Serves an OpenAI-style model engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct Engine {
    /// address to listen on; port 0 takes a free one
    #[argh(option, default = "loopback()")]
    pub listen: SocketAddr,
    /// models loaded at the start, separated by commas
    #[argh(option, default = "String::from(\"small\")")]
    pub models: String,
    /// requests that run at once
    #[argh(option, default = "8")]
    pub slots: usize,
    /// let a better waiting request take the slot of the worst running one
    #[argh(switch)]
    pub preempt: bool,
    /// microseconds to read one prompt token that isn't cached
    #[argh(option, default = "20")]
    pub prefill_us_per_token: u64,
    /// milliseconds between tokens of a request that runs alone
    #[argh(option, default = "10")]
    pub token_gap_ms: u64,
    /// how much each running request stretches the gap between tokens
    #[argh(option, default = "0.0")]
    pub batch_slope: f64,
    /// tokens that the prefix cache holds
    #[argh(option, default = "100000")]
    pub cache_tokens: usize,
    /// milliseconds by which /metrics lags
    #[argh(option, default = "0")]
    pub load_lag_ms: u64,
    /// cancel a generation when its caller's connection drops
    #[argh(switch)]
    pub cancel_on_disconnect: bool,
    /// refuse an order with a lower fence than the highest seen
    #[argh(switch)]
    pub check_fence: bool,
    /// URL of the weight store from which models are loaded
    #[argh(option)]
    pub weights: Option<String>,
    /// milliseconds by which cache events are late
    #[argh(option, default = "0")]
    pub event_lag_ms: u64,
    /// fraction of the cache events that are dropped
    #[argh(option, default = "0.0")]
    pub event_gap: f64,
    /// seed of the choice of dropped events
    #[argh(option, default = "0")]
    pub seed: u64,
    /// bytes of the KV cache of one token
    #[argh(option, default = "64")]
    pub kv_bytes_per_token: usize,
}

impl Engine {
    /// Returns the options that the flags set, with a unique prefix for ids.
    pub fn options(&self) -> engine::Options {
        engine::Options {
            models: self.models.split(',').map(String::from).collect(),
            slots: self.slots,
            preempt: self.preempt,
            prefill_per_token: Duration::from_micros(self.prefill_us_per_token),
            token_gap: Duration::from_millis(self.token_gap_ms),
            batch_slope: self.batch_slope,
            cache_tokens: self.cache_tokens,
            load_lag: Duration::from_millis(self.load_lag_ms),
            cancel_on_disconnect: self.cancel_on_disconnect,
            check_fence: self.check_fence,
            weights_url: self.weights.clone(),
            event_lag: Duration::from_millis(self.event_lag_ms),
            event_drop_fraction: self.event_gap,
            seed: self.seed,
            kv_bytes_per_token: self.kv_bytes_per_token,
            id_prefix: unique_id_prefix(),
        }
    }
}

/// Serves a plain service that counts what it ran.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "registry")]
pub struct Registry {
    /// address to listen on; port 0 takes a free one
    #[argh(option, default = "loopback()")]
    pub listen: SocketAddr,
    /// milliseconds that each call takes
    #[argh(option, default = "0")]
    pub delay_ms: u64,
}

impl Registry {
    /// Returns the options that the flags set.
    pub fn options(&self) -> registry::Options {
        registry::Options { delay: Duration::from_millis(self.delay_ms) }
    }
}

/// Serves the weight store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "weights")]
pub struct Weights {
    /// address to listen on; port 0 takes a free one
    #[argh(option, default = "loopback()")]
    pub listen: SocketAddr,
    /// bytes of each model's weights
    #[argh(option, default = "1000000")]
    pub bytes: u64,
    /// bytes sent in a second over all streams
    #[argh(option, default = "1000000")]
    pub bytes_per_second: u64,
    /// streams at once
    #[argh(option, default = "2")]
    pub streams: usize,
}

impl Weights {
    /// Returns the options that the flags set.
    pub fn options(&self) -> weights::Options {
        weights::Options {
            bytes: self.bytes,
            bytes_per_second: self.bytes_per_second,
            streams: self.streams,
        }
    }
}

/// Returns a prefix for completion ids that no other run of an engine uses,
/// made from the process id and the current time.
fn unique_id_prefix() -> String {
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{:x}-{:x}-", process::id(), started.as_micros())
}

/// Returns the default address: a free port on the loopback interface.
fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
