//! The answer to a call, stored for replay.

use serde::Deserialize;
use serde::Serialize;

/// A complete HTTP answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if any.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Largest body that is stored, in bytes.
    pub const MAX_BYTES: usize = 64 * 1024;
}
