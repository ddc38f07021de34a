//! The peer key as a header of the WebSocket handshake.

use std::fmt;

use jsonrpsee::ws_client::HeaderMap;
use jsonrpsee::ws_client::HeaderValue;
use wire::key::HEADER;

use crate::Error;

/// The fleet's peer key, sent and checked in the handshake; `Debug` doesn't print it.
#[derive(Clone)]
pub struct Key {
    header: HeaderValue,
    key: wire::Key,
}

impl Key {
    /// Creates the key from its text in the settings.
    ///
    /// # Errors
    ///
    /// [`Error::Key`] if it is empty or can't stand in a header.
    pub fn new(key: &str) -> Result<Key, Error> {
        Key::with_accepted(key, None)
    }

    /// Like [`Key::new`] during a key rotation: a second key is accepted but not sent.
    ///
    /// # Errors
    ///
    /// [`Error::Key`] if the key to send is empty or can't stand in a header.
    pub fn with_accepted(key: &str, accepted: Option<&str>) -> Result<Key, Error> {
        if key.is_empty() {
            return Err(Error::Key);
        }
        let key = wire::Key::with_accepted(key, accepted);
        let mut header = HeaderValue::from_str(key.bearer()).map_err(|_| Error::Key)?;
        header.set_sensitive(true);
        Ok(Key { header, key })
    }

    /// Returns the headers that show the key to a peer.
    pub(crate) fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(HEADER, self.header.clone());
        headers
    }

    /// Returns whether a peer's headers show an accepted key, compared in constant time.
    pub(crate) fn is_shown(&self, headers: &HeaderMap) -> bool {
        self.key.is_shown(headers.get(HEADER).map(HeaderValue::as_bytes))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}
