//! Decoding and encoding of an external system's formats.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use http::HeaderMap;

use crate::Endpoint;
use crate::Evacuation;
use crate::Metadata;
use crate::Reply;
use crate::Table;

/// Decodes requests, responses, announcements and configurations of an external system, and
/// encodes the headers that endpoints are sent. It makes no decisions.
pub trait Dialect: Send + Sync {
    /// Returns the prefix of the keys that operators write: the configuration and evacuations.
    fn operator_prefix(&self) -> &str;

    /// Returns the key of the configuration, which starts with [`Dialect::operator_prefix`].
    fn table_key(&self) -> &str;

    /// Returns the prefix of the keys under which endpoints announce themselves in the store.
    fn endpoint_prefix(&self) -> &str;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if it can't be decoded; the previous configuration stays in force then.
    fn table(&self, value: &[u8]) -> Result<Table, Malformed>;

    /// Decodes the evacuation that a key of an operator asks for; `None` if the key asks for none.
    ///
    /// The key alone counts; what is wrong with the value is told in [`Evacuation::fault`].
    fn evacuation(&self, key: &str, value: &[u8]) -> Option<Evacuation>;

    /// Decodes the announcement of an endpoint from its key and value in the store.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a field is missing or has the wrong type; there is no usable endpoint then.
    fn endpoint(&self, key: &str, value: &[u8]) -> Result<Endpoint, Malformed>;

    /// Decodes the metadata of a request from its headers.
    fn metadata(&self, headers: &HeaderMap) -> Metadata;

    /// Turns the headers of a client's request into those that the endpoint is sent.
    ///
    /// Removes headers that concern only the client's connection and those that clients may not
    /// set, then sets the values of `forwarding`.
    fn rewrite_headers(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>);

    /// Decodes the metadata of a response from its status and headers.
    fn reply(&self, status: u16, headers: &HeaderMap) -> Reply;
}

/// Values that an endpoint is sent with a request, in addition to the client's headers.
#[derive(Debug, Clone, Copy)]
pub struct Forwarding<'a> {
    /// The id of the endpoint that the request is meant for.
    pub endpoint: &'a str,
    /// The time that is left until the request's deadline.
    pub time_left: Duration,
    /// The name of the client account.
    pub account: Option<&'a str>,
    /// The rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// The id of the last event that the client has received of a stream to resume.
    pub last_event: Option<u64>,
    /// Address of another endpoint that has the shared prompt prefix cached, to copy it from.
    pub copy_from: Option<SocketAddr>,
}

/// malformed data: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Malformed(pub String);

impl std::error::Error for Malformed {}
