//! What a process says of streams.

use policy::origin::ProcessId;
use policy::origin::Segment;
use serde::Deserialize;
use serde::Serialize;

/// What a process says of streams that a peer looks up.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attestation {
    /// The called process: it began none of the streams that are not among `streams`. It has no name if it
    /// can't tell, or is of an earlier build.
    pub process: ProcessId,
    /// The streams whose versions it knows.
    pub streams: Segment,
}
