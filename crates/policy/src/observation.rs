//! What gateways observe of endpoints and tell each other beside their loads.
//!
//! Only endpoints that differ from the others have rows, so that messages of a calm fleet don't
//! grow. See `docs/decisions/relays.md`.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::exchange::Additive;
use crate::exchange::Parts;
use crate::exchange::PartsLedger;
use crate::failure_rate::Sheet;
use crate::rate_limit::Usage;
use crate::speed::Sums;

/// What one or several gateways have observed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Observations {
    /// Requests at endpoints that are cold.
    pub cold: Usage,
    /// Requests at endpoints that fail some of them.
    pub failures: Sheet,
    /// Times of endpoints that are faster or slower than the others of their service.
    pub speed: Sums,
}

/// What a gateway has observed, with what it answers for.
pub type Report = Parts<Observations>;

/// The latest observations that other gateways reported.
pub type Ledger = PartsLedger<Observations>;

impl Observations {
    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.cold.len() + self.failures.len() + self.speed.len()
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether all rows are in order, as in a message that was received they may not be.
    pub fn is_valid(&self) -> bool {
        self.cold.is_valid() && self.failures.is_valid() && self.speed.is_valid()
    }
}

impl Additive for Observations {
    fn add_all(&mut self, other: &Observations, age: Duration) {
        self.cold.add_all(&other.cold, age);
        self.failures.add_all(&other.failures, age);
        self.speed.add_all(&other.speed, age);
    }
}
