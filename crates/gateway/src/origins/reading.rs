//! Results of reads of the store.

use std::sync::Arc;

use crate::origins::Stored;

/// Result of a read of the store.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reading {
    /// The last read that it answers.
    pub(crate) number: u64,
    /// The journals in the store; `None` if it could not be read.
    pub(crate) stored: Option<Arc<Stored>>,
}
