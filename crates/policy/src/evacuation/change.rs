//! Changes of what is in force.

use crate::evacuation::Cause;
use crate::evacuation::Centre;

/// An evacuation that begins or ends at this gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The data centre.
    pub centre: Centre,
    /// Whether it is evacuated from now on.
    pub is_evacuated: bool,
    /// What determined it.
    pub cause: Cause,
}
