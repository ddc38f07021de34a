//! The border to an outside system's manner of writing.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use http::HeaderMap;

use crate::Ask;
use crate::Endpoint;
use crate::Reply;
use crate::Table;

/// Decodes what clients, endpoints and operators of an outside system write, and
/// encodes what endpoints are told. It decides nothing.
pub trait Dialect: Send + Sync {
    /// Where configurations lie in the store.
    fn table_prefix(&self) -> &str;

    /// Where endpoints announce themselves in the store.
    fn endpoint_prefix(&self) -> &str;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Where it can't be read at all; the configuration before it stays in force.
    fn table(&self, value: &[u8]) -> Result<Table, Malformed>;

    /// Decodes the announcement of an endpoint that lies under a key.
    ///
    /// # Errors
    ///
    /// Where a field is missing or of another type; it names no endpoint then.
    fn endpoint(&self, key: &str, value: &[u8]) -> Result<Endpoint, Malformed>;

    /// Decodes what a request says of itself.
    fn ask(&self, headers: &HeaderMap) -> Ask;

    /// Replaces what clients can't set and one connection's own headers by what
    /// the endpoint is told.
    fn address(&self, headers: &mut HeaderMap, order: &Order<'_>);

    /// Decodes what the head of an answer says besides its content.
    fn reply(&self, status: u16, headers: &HeaderMap) -> Reply;
}

/// What an endpoint is told of a request.
#[derive(Debug, Clone, Copy)]
pub struct Order<'a> {
    /// The endpoint that is meant.
    pub endpoint: &'a str,
    /// How long the answer is of use.
    pub patience: Duration,
    /// The client account.
    pub account: Option<&'a str>,
    /// The rank of the work; 0 is the most urgent.
    pub rank: u8,
    /// The last event of a stream that the client has already.
    pub last_event: Option<u64>,
    /// Another endpoint that holds a part of the prompt, from which it is copied.
    pub copy_from: Option<SocketAddr>,
}

/// What could not be decoded: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Malformed(pub String);

impl std::error::Error for Malformed {}
