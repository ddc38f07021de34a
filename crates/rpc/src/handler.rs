//! The interface between the server and the process that answers its calls.

use std::sync::Arc;

use burn::Sheet;
use config::Document;
use wire::Member;
use wire::Stamp;
use wire::id;

use crate::Difference;
use crate::Packet;
use crate::Status;

/// Answers calls from the state of the process. A method must not block.
pub trait Handler: Send + Sync + 'static {
    /// Merges the packet of a peer and returns the own one.
    fn beat(&self, packet: Packet) -> Packet;

    /// Returns the hashes of the members in those buckets whose hash differs from the given one.
    fn hashes(&self, stamp: Stamp, buckets: &[u32]) -> Vec<u32>;

    /// Returns the members whose descriptions have the given hashes.
    fn described(&self, stamp: Stamp, hashes: &[u32]) -> Vec<Member>;

    /// Returns the configuration in force if its revision is above `after`.
    fn document(&self, stamp: Stamp, after: id::Revision) -> Option<Arc<Document>>;

    /// Returns the stamp of the process.
    fn stamp(&self, stamp: Stamp) -> Stamp;

    /// Returns the changes since the revision `after`, if that is still kept.
    fn difference(&self, stamp: Stamp, after: id::Revision) -> Option<Difference>;

    /// Returns the service-level counts of the last hour.
    fn sheet(&self, stamp: Stamp) -> Sheet;

    /// Returns all members that the process knows.
    fn status(&self, stamp: Stamp) -> Status;
}
