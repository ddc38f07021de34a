//! Errors of control calls and of their server.

use std::net::SocketAddr;

use displaydoc::Display;

/// An error whose message says what to do about it.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the peer key is empty or holds characters that can't stand in a header: set peer.key, or key in the profile, to printable ASCII
    Key,
    /// {0} can't be listened on ({1}): check control.listen and that no other process uses it
    Listen(SocketAddr, String),
    /// the peer {0} can't be reached ({1}): another peer is asked
    Unreachable(SocketAddr, String),
    /// the peer {0} refused the call ({1}): check that both run the same release and that the key allows the call
    Refused(SocketAddr, String),
}

impl std::error::Error for Error {}
