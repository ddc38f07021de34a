//! What can be known of a call that failed.

use ntex::client::error::ClientError;
use ntex::client::error::ConnectError;

/// Why a call gave no answer with a success status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection was made, so the other side surely saw nothing.
    Unsent(String),
    /// The request may have been seen.
    Cut(String),
    /// The other side answered with this status.
    Status(u16),
    /// The answer can't be read.
    Malformed(String),
}

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Failure {
        match &error {
            // A closed connection without a cause is one that was open before.
            ClientError::Connect(ConnectError::Disconnected(None)) => {
                Failure::Cut(error.to_string())
            }
            ClientError::Connect(_) | ClientError::Url(_) | ClientError::Http(_) => {
                Failure::Unsent(error.to_string())
            }
            _ => Failure::Cut(error.to_string()),
        }
    }
}
