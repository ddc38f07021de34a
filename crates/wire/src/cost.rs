//! The cost of a request in tokens.

use serde::Deserialize;
use serde::Serialize;

/// The tokens of a request, by which admission weighs it instead of counting requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Prompt tokens, cached ones included.
    pub prompt: u32,
    /// Tokens that may be generated at most.
    pub output: u32,
}

impl Cost {
    /// Returns the sum of prompt and output tokens.
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt) + u64::from(self.output)
    }
}
