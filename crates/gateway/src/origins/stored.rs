//! What all gateways have stored of streams.

use policy::origin::Journal;

/// What all gateways have stored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Stored {
    /// Number of restores of the store when it was read.
    pub(crate) restores: u64,
    /// A journal for each process.
    pub(crate) journals: Vec<Journal>,
}
