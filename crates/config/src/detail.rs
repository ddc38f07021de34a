//! Descriptions of the differences between two versions of an object.

use std::fmt::Debug;

use crate::Account;
use crate::Assignment;
use crate::Limit;
use crate::Rank;
use crate::Service;
use crate::service::Kind;

/// A list of differences as text, such as `weight 1 to 2`.
#[derive(Default)]
struct Differences(Vec<String>);

impl Differences {
    /// Adds a field with its old and new value if they differ.
    fn add<T: PartialEq + Debug>(&mut self, name: &str, old: T, new: T) {
        if old != new {
            self.0.push(format!("{name} {old:?} to {new:?}"));
        }
    }

    /// Returns the differences separated by commas.
    fn into_text(self) -> String {
        self.0.join(", ")
    }
}

/// Describes how a rank differs.
pub(crate) fn rank(old: &Rank, new: &Rank) -> String {
    let mut differences = Differences::default();
    differences.add("first token", old.first_token, new.first_token);
    differences.add("token gap", old.token_gap, new.token_gap);
    differences.add("patience", old.patience, new.patience);
    differences.add("worth", old.worth, new.worth);
    differences.add("minimum", old.minimum, new.minimum);
    differences.add("objective", old.objective, new.objective);
    differences.into_text()
}

/// Describes how a service differs.
pub(crate) fn service(old: &Service, new: &Service) -> String {
    let mut differences = Differences::default();
    differences.add("place of its rank", old.rank, new.rank);
    differences.add("needs", old.needs(), new.needs());
    if let (Kind::Chat(old), Kind::Chat(new)) = (&old.kind, &new.kind) {
        differences.add("output tokens", old.output_tokens, new.output_tokens);
    }
    if let (Kind::Plain(old), Kind::Plain(new)) = (&old.kind, &new.kind) {
        differences.add("idempotent", &old.idempotent, &new.idempotent);
    }
    let more = new.accounts.iter().filter(|account| !old.serves(account)).count();
    let fewer = old.accounts.iter().filter(|account| !new.serves(account)).count();
    if more + fewer > 0 {
        differences.0.push(format!("serves {more} accounts more and {fewer} no longer"));
    }
    differences.into_text()
}

/// Describes how a client account differs.
pub(crate) fn account(old: &Account, new: &Account) -> String {
    let mut differences = Differences::default();
    differences.add("weight", old.weight, new.weight);
    if old.tokens != new.tokens {
        differences.0.push(format!("tokens, {} now", new.tokens.len()));
    }
    differences.into_text()
}

/// Describes what an engine is to hold.
pub(crate) fn assignment(assignment: &Assignment) -> String {
    format!("holds {}", assignment.holds.join(", "))
}

/// Describes how the limits differ.
pub(crate) fn limit(old: &Limit, new: &Limit) -> String {
    let mut differences = Differences::default();
    differences.add("load bound", old.load_bound, new.load_bound);
    differences.add("attempts", old.attempts, new.attempts);
    differences.add("retry percent", old.retry_percent, new.retry_percent);
    differences.add("accelerators", old.accelerators, new.accelerators);
    differences.add("loads", old.loads, new.loads);
    differences.add("claim age", old.claim_age, new.claim_age);
    differences.into_text()
}
