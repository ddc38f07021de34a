//! Client accounts.

use serde::Deserialize;
use serde::Serialize;
use wire::Digest;
use wire::id;

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The account's name.
    pub name: id::Account,
    /// Weight in fair sharing, relative to other accounts.
    pub weight: u32,
    /// SHA-256 hashes of the bearer tokens that identify the account.
    pub tokens: Vec<Digest>,
}
