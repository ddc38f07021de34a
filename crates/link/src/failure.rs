//! What can be known of a request that got no answer.

use displaydoc::Display;

/// Why a request got no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Failure {
    /// no byte of the request was sent ({0}): another endpoint may be asked
    Unsent(String),
    /// the connection broke after the request was sent ({0}): it may have run
    Broken(String),
}

impl std::error::Error for Failure {}
