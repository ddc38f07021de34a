//! The gate's rules, derived from the confirmed configuration.

use config::Document;
use config::Rank;
use policy::gate::Rule;
use policy::gate::Rules;

/// Requests that may wait per slot.
const MAX_QUEUED_PER_SLOT: u32 = 8;

/// Tokens that the waiting requests may ask for together, per slot.
const MAX_QUEUED_TOKENS_PER_SLOT: u64 = 256 * 1024;

/// Tokens per second that a slot is assumed to process until the engine's speed is measured.
const INITIAL_TOKENS_PER_SECOND: u32 = 200;

/// Returns the rules of the gate of an engine with `slots` slots.
pub(crate) fn rules(document: &Document, slots: u32) -> Rules {
    Rules {
        slots,
        bound: document.limit.load_bound,
        ranks: document.ranks.iter().map(rule).collect(),
        queue: slots * MAX_QUEUED_PER_SLOT,
        queue_tokens: u64::from(slots) * MAX_QUEUED_TOKENS_PER_SLOT,
        start_rate: INITIAL_TOKENS_PER_SECOND,
    }
}

fn rule(rank: &Rank) -> Rule {
    Rule { minimum: rank.minimum, first_token: rank.first_token }
}
