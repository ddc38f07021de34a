//! Placement: the order in which a request tries engines.
//!
//! `docs/decisions/placement.md` compares the strategies.

mod bounded;
mod kind;
mod least_loaded;
mod locations;
mod random;
mod rendezvous;
mod spills;
mod two_choices;

pub use bounded::Bounded;
pub use bounded::is_at_bound;
pub use kind::Kind;
pub use least_loaded::LeastLoaded;
pub use locations::Fingerprint;
pub use locations::Location;
pub use locations::Locations;
pub use locations::fingerprint;
pub use random::Random;
pub use rendezvous::Rendezvous;
pub use rendezvous::home;
pub use spills::Batch;
pub use spills::Spill;
pub use spills::Spills;
pub use two_choices::TwoChoices;
use wire::Mean;
use wire::id;

use crate::candidate::Candidate;

/// The request's properties and the fleet's load, from which a strategy orders engines.
#[derive(Debug, Clone, Copy)]
pub struct Query {
    /// The chat, if the work belongs to one.
    pub chat: Option<id::Chat>,
    /// The engine that holds the chat's context if that is not its home: as the
    /// home's agent says, or as the entry remembers if that home is gone.
    pub last: Option<Fingerprint>,
    /// The entry's estimate of the fleet's mean load.
    pub mean: Option<Mean>,
    /// The load bound, as a multiple of the fleet's mean load.
    pub bound: f32,
    /// Whether this is the chat's first turn, so that no engine has its context yet.
    pub is_first_turn: bool,
    /// Whether the preferred engine may be tried first even if it is believed to be at
    /// its bound: the chat has cached context and the retry budget has a surplus.
    pub can_try_full: bool,
    /// Random bits of the request, so that random choices differ between requests.
    pub seed: u64,
}

/// A placement strategy.
pub trait Placement: Send + Sync {
    /// Returns the order in which to try the candidates, as indices into them.
    fn order(&self, query: &Query, candidates: &[Candidate]) -> Vec<usize>;
}
