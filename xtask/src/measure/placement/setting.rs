//! Parameters of a simulation run.

use std::time::Duration;

use policy::placement::Kind;

/// Parameters of a simulation run.
#[derive(Debug, Clone)]
pub(crate) struct Setting {
    pub(crate) engines: usize,
    pub(crate) entries: usize,
    /// Concurrent requests of an engine.
    pub(crate) slots: u32,
    /// Tokens that an engine caches.
    pub(crate) cache_tokens: u64,
    /// Chats that are active at any time; a finished one is replaced by a new one.
    pub(crate) chats: usize,
    /// Exponent of the Zipf law by which chats are chosen.
    pub(crate) exponent: f64,
    /// Tokens of a chat's first message.
    pub(crate) opening: u64,
    /// Tokens by which a chat grows per turn, its answer included.
    pub(crate) growth: u64,
    /// Turns after which a chat is replaced.
    pub(crate) turns: u32,
    /// Mean requests a second, which arrive at random times.
    pub(crate) rate: f64,
    /// Time to process a prompt token that isn't cached.
    pub(crate) prefill: Duration,
    /// Time to generate an answer, after the prompt is processed.
    pub(crate) answer: Duration,
    /// Simulated time of the run.
    pub(crate) time: Duration,
    /// Loss of engines, if any.
    pub(crate) loss: Option<Loss>,
    /// How entries choose engines.
    pub(crate) variant: Variant,
    /// Seed of all random choices.
    pub(crate) seed: u64,
}

/// Loss of some engines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Loss {
    /// Simulated time of the loss.
    pub(crate) at: Duration,
    /// One in this many engines is lost.
    pub(crate) one_in: usize,
}

/// How entries choose engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Variant {
    pub(crate) kind: Kind,
    /// Whether entries and agents record where chats are served away from home.
    pub(crate) has_places: bool,
    /// Whether all entries share one table of places, as if it were replicated without
    /// delay.
    pub(crate) is_replicated: bool,
}

impl Variant {
    /// The product's placement.
    pub(crate) const PRODUCT: Variant =
        Variant { kind: Kind::Bounded, has_places: true, is_replicated: false };

    /// Returns a baseline that places by one kind of placement without recorded places.
    pub(crate) fn baseline(kind: Kind) -> Variant {
        Variant { kind, has_places: false, is_replicated: false }
    }
}

impl Setting {
    /// Returns the load of `measure reuse` for a number of engines, without a loss.
    pub(crate) fn new(engines: usize, entries: usize, variant: Variant) -> Setting {
        Setting {
            engines,
            entries,
            slots: 8,
            cache_tokens: 30_000,
            chats: 50 * engines,
            exponent: 1.0,
            opening: 600,
            growth: 28,
            turns: 12,
            rate: 5.3 * engines as f64,
            prefill: Duration::from_micros(250),
            answer: Duration::from_millis(800),
            time: Duration::from_secs(100),
            loss: None,
            variant,
            seed: 2,
        }
    }
}
