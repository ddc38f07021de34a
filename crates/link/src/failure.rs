//! Failures of a request, by whether it may have run.

use displaydoc::Display;

/// Reason why there is no response to a request.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Failure {
    /// no byte of the request was sent ({0}): another endpoint may be asked
    Unsent(String),
    /// nothing listens at the address ({0}): another endpoint may be asked
    Refused(String),
    /// the connection broke after the request was sent ({0}): it may have run
    Broken(String),
}

impl std::error::Error for Failure {}
