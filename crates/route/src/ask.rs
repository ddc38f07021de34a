//! What one request says of itself.

use std::sync::Arc;
use std::time::Duration;

/// What one request says of itself, decoded from its head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ask {
    /// Names this request; each attempt of a client has its own.
    pub id: Option<Arc<str>>,
    /// How long the client waits.
    pub patience: Option<Duration>,
    /// The client account's key.
    pub key: Option<Arc<str>>,
    /// The parts of the prompt in their order; the last one is the request's own.
    pub parts: Vec<Part>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer may have.
    pub answer_tokens: u32,
    /// Tokens that the client expects the answer to have.
    pub expected_tokens: Option<u32>,
    /// The last event of a stream that the client has already.
    pub last_event: Option<u64>,
}

/// One part of a prompt, which other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Names the part by its content.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

impl Ask {
    /// The deepest part that other requests share, which says where context is reused.
    pub fn shared_part(&self) -> Option<Part> {
        match self.parts.as_slice() {
            [] => None,
            [only] => Some(*only),
            [.., shared, _own] => Some(*shared),
        }
    }
}
