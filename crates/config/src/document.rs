//! The confirmed configuration.

use serde::Deserialize;
use serde::Serialize;
use wire::Digest;
use wire::id;

use crate::Account;
use crate::Assignment;
use crate::Limit;
use crate::Rank;
use crate::Service;

/// The whole configuration that operators confirmed, as one immutable value.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The document's number in the history; 0 only before the first confirm.
    pub revision: id::Revision,
    /// The operator who confirmed it.
    pub operator: id::Operator,
    /// Ranks, the most urgent first.
    pub ranks: Vec<Rank>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Client accounts, sorted by name.
    pub accounts: Vec<Account>,
    /// Models or pools that engines are to hold, sorted by engine.
    pub assignments: Vec<Assignment>,
    /// Limits of placement and retries.
    pub limit: Limit,
}

impl Document {
    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self.services.binary_search_by(|service| service.name.as_str().cmp(name));
        self.services.get(found.ok()?)
    }

    /// Returns the client account with a name.
    pub fn account(&self, name: &str) -> Option<&Account> {
        let found = self.accounts.binary_search_by(|account| account.name.as_str().cmp(name));
        self.accounts.get(found.ok()?)
    }

    /// Returns the client account that a bearer token identifies.
    pub fn account_of_token(&self, token: &str) -> Option<&Account> {
        let digest = Digest::of(token.as_bytes());
        self.accounts
            .iter()
            .find(|account| account.tokens.iter().any(|known| known.matches(&digest)))
    }

    /// Returns the rank at an index; the most urgent one has index 0.
    pub fn rank(&self, rank: id::Rank) -> Option<&Rank> {
        self.ranks.get(usize::from(rank))
    }

    /// Returns the models or pools that an engine is to hold, sorted; empty if it has
    /// no assignment.
    pub fn holds(&self, engine: &str) -> &[String] {
        let found = self.assignments.binary_search_by(|entry| entry.engine.as_str().cmp(engine));
        match found {
            Ok(index) => &self.assignments[index].holds,
            Err(_) => &[],
        }
    }
}
