//! Failures of HTTP calls, by whether the other side may have seen the request.

use ntex::client::error::ClientError;
use ntex::client::error::ConnectError;

/// Why a call did not return a readable answer with a success status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection was made, so the other side did not see the request.
    Unsent(String),
    /// The connection or answer broke off, so the other side may have seen the request.
    Cut(String),
    /// The other side answered with this status.
    Status(u16),
    /// The answer can't be decoded.
    Malformed(String),
}

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Failure {
        match &error {
            // The client reports a connection that closed after sending as
            // `Disconnected` without a cause.
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
