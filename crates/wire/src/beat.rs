//! The gossip heartbeat that processes exchange with a few random peers.

use serde::Deserialize;
use serde::Serialize;

use crate::Mean;
use crate::Member;
use crate::Stamp;

/// A heartbeat with descriptions of members, sent as request and as response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Stamp of the sender.
    pub stamp: Stamp,
    /// The sender's estimate of the fleet's mean load, if it has one.
    pub mean: Option<Mean>,
    /// Members whose descriptions the sender learnt recently, itself first.
    pub members: Vec<Member>,
    /// Number of members that the sender knows, so that the receiver sees whether it
    /// lacks many.
    pub known: u32,
}
