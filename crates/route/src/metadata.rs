//! Metadata of a request.

use std::sync::Arc;
use std::time::Duration;

/// Metadata of a request, decoded from its headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Metadata {
    /// The id of the request; a client that retries sends a new one.
    pub id: Option<Arc<str>>,
    /// How long the client waits for the response.
    pub timeout: Option<Duration>,
    /// The client account's key.
    pub key: Option<Arc<str>>,
    /// The parts of the prompt in their order; the last one belongs to this request alone.
    pub parts: Vec<Part>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Longest response that the client accepts, in tokens.
    pub max_output_tokens: u32,
    /// Length of the response that the client expects, in tokens.
    pub expected_output_tokens: Option<u32>,
    /// The id of the last event that the client has received of a stream to resume.
    pub last_event: Option<u64>,
    /// The id of the request that brought the first event of a stream to resume.
    pub resumes: Option<Arc<str>>,
}

/// A part of a prompt, which other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Hash of the part's content.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

impl Metadata {
    /// Returns the parts of the prompt that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }

    /// Returns the last part of the prompt that other requests may share: all but the last part
    /// are shared, and a single part counts as shared. Endpoints that have it cached reuse it.
    pub fn shared_part(&self) -> Option<Part> {
        match self.parts.as_slice() {
            [] => None,
            [only] => Some(*only),
            [.., shared, _own] => Some(*shared),
        }
    }
}
