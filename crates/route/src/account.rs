//! Client accounts.

use std::sync::Arc;

/// A client account; its keys identify it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its name, which endpoints are sent.
    pub name: Arc<str>,
    /// The rank of its requests; 0 is the most urgent. It takes precedence over the rank of the
    /// route.
    pub rank: Option<u8>,
}
