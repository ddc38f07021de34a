//! Client accounts.

use std::sync::Arc;

/// A client account, which its keys name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// The account's name, which endpoints are told.
    pub name: Arc<str>,
    /// The rank of its work, which takes precedence over that of the route; 0 is the most urgent.
    pub rank: Option<u8>,
}
