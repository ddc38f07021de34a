//! The outcome of a request.

use std::time::Duration;

use serde::Deserialize;

/// The outcome of a request, as its caller sees it.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A complete answer.
    Answer(Answer),
    /// An answer with an error status.
    Refused(Refusal),
    /// No answer or an incomplete one, with the reason.
    Failed(String),
}

/// A complete answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    /// The generated text, or the body of a plain service's answer.
    pub text: String,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Time to the first token of a stream, or to the end of an answer that isn't streamed.
    pub first_token: Duration,
    /// Times between the tokens of a stream.
    pub gaps: Vec<Duration>,
    /// Time to the end of the answer.
    pub total: Duration,
    /// Whether it is the stored answer of an earlier call with the same idempotency key.
    pub replayed: bool,
}

/// A refusal: the members of its problem document that callers use.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// URN of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Explanation of this occurrence.
    #[serde(default)]
    pub detail: String,
    /// Whether the request ran: `no` or `unknown`.
    pub ran: String,
    /// Seconds after which the request may be sent again.
    #[serde(default)]
    pub retry_after: Option<u64>,
}

impl Outcome {
    /// Returns the answer, if it is complete.
    pub fn answer(&self) -> Option<&Answer> {
        match self {
            Outcome::Answer(answer) => Some(answer),
            Outcome::Refused(_) | Outcome::Failed(_) => None,
        }
    }
}
