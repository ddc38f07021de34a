//! Engines excluded after they refused work because they are leaving or lack the model
//! or pool.

use std::time::Duration;

use wire::id;

use crate::candidate::Edition;

/// An engine is avoided for at most this time after its refusal.
const AVOID_TTL: Duration = Duration::from_secs(60);

/// Engines excluded from placement until they publish a newer description.
///
/// A refusal is newer than the roster, which lags by seconds.
#[derive(Debug, Clone, Default)]
pub struct Avoided {
    entries: Vec<Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    engine: id::Engine,
    /// The model or pool that the engine does not hold, or `None` if it is leaving.
    needs: Option<String>,
    edition: Edition,
    at: Duration,
}

impl Avoided {
    /// Excludes an engine for a model or pool, or for all work if `needs` is
    /// `None`, until its description is later than `edition`.
    pub fn avoid(&mut self, engine: &str, edition: Edition, needs: Option<&str>, now: Duration) {
        self.entries.retain(|entry| now.saturating_sub(entry.at) <= AVOID_TTL);
        self.entries.retain(|entry| entry.engine != engine || entry.needs.as_deref() != needs);
        self.entries.push(Entry {
            engine: engine.to_owned(),
            needs: needs.map(str::to_owned),
            edition,
            at: now,
        });
    }

    /// Returns whether an engine is excluded for a model or pool, given the
    /// edition of its current description.
    pub fn is_avoided(&self, engine: &str, edition: Edition, needs: &str, now: Duration) -> bool {
        self.entries.iter().any(|entry| {
            entry.engine == engine
                && entry.needs.as_deref().is_none_or(|missing| missing == needs)
                && edition <= entry.edition
                && now.saturating_sub(entry.at) <= AVOID_TTL
        })
    }
}
