//! Intents: what operators declare, as TOML.

use serde::Deserialize;
use serde::Serialize;
use toml::Spanned;

use crate::rank;

/// A whole intent file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The capacity that the budget pays for.
    #[serde(default)]
    pub budget: Budget,
    /// Limits of the whole fleet.
    #[serde(default)]
    pub limit: Limit,
    /// Ranks, the most urgent first.
    #[serde(default)]
    pub rank: Vec<Rank>,
    /// Services.
    #[serde(default)]
    pub service: Vec<Service>,
    /// Client accounts.
    #[serde(default)]
    pub account: Vec<Account>,
}

/// The capacity that the budget pays for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Number of accelerators; each model engine uses one.
    pub accelerators: u32,
}

/// Limits of the whole fleet; an absent one has the default of [`crate::Limit`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    /// Highest load of an engine, as a multiple of the mean load; see [`crate::Limit`].
    pub load_bound: Option<f32>,
    /// Attempts that one request may make, including the first.
    pub attempts: Option<u32>,
    /// Retries that an entry may send, in percent of first attempts.
    pub retry_percent: Option<u32>,
    /// Models that may be loaded at the same time in the whole fleet.
    pub loads: Option<u32>,
    /// Seconds for which the outcome of a call with an idempotency key is kept.
    pub claim_age_s: Option<u64>,
}

/// A rank of work, that is, a priority class.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// The rank's name.
    pub name: Spanned<String>,
    /// Milliseconds within which the first token is due.
    pub first_token_ms: u64,
    /// Most milliseconds that may pass between tokens.
    pub token_gap_ms: u64,
    /// Most milliseconds that a request may be queued.
    pub patience_ms: u64,
    /// Value of an answer in time, relative to other ranks.
    pub worth: u32,
    /// Percent of each engine that is reserved for the rank under overload.
    #[serde(default)]
    pub minimum_percent: u8,
    /// Percent of requests that must be answered completely and in time; 95 if absent.
    #[serde(default = "rank::objective")]
    pub objective_percent: u8,
}

/// A service, which has either a model or a pool.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: Spanned<String>,
    /// The name of the rank of its requests.
    pub rank: Spanned<String>,
    /// The names of the client accounts that may use it.
    pub accounts: Vec<Spanned<String>>,
    /// The model that answers its requests.
    pub model: Option<String>,
    /// Limit of generated tokens if the caller sets none, and the highest it may set.
    pub output_tokens: Option<u32>,
    /// The pool of plain engines that answers its requests.
    pub pool: Option<String>,
    /// Path prefixes whose `POST` calls are idempotent.
    #[serde(default)]
    pub idempotent: Vec<String>,
}

/// A client account.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The account's name.
    pub name: Spanned<String>,
    /// Weight in fair sharing, relative to other accounts; 1 if absent.
    #[serde(default = "one")]
    pub weight: u32,
    /// SHA-256 hashes of the account's tokens, as `lycheeknot intent hash-token` prints
    /// them.
    pub tokens: Vec<Spanned<String>>,
}

/// The default weight of an account.
fn one() -> u32 {
    1
}
