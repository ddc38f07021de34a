//! Evacuations of data centres.

use std::sync::Arc;

use crate::dialect::Malformed;

/// An operator's request that nothing more is sent to the endpoints of a data centre, for as long as
/// its key is in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre.
    pub centre: Arc<str>,
    /// What is wrong with the value of its key. The evacuation is in force all the same, since
    /// endpoints that are evacuated by mistake cost less than requests that are lost there.
    pub fault: Option<Malformed>,
}
