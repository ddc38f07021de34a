//! The peer key, a secret that the processes of one fleet share.

use std::fmt;

use crate::Digest;

/// Name of the HTTP header that shows the key to a peer.
pub const HEADER: &str = "authorization";

/// The fleet's peer key; `Debug` doesn't print it.
#[derive(Clone)]
pub struct Key {
    bearer: String,
    digest: Digest,
    accepted: Option<Digest>,
}

impl Key {
    /// Creates the key from its text in the settings.
    pub fn new(key: &str) -> Key {
        Key::with_accepted(key, None)
    }

    /// Like [`Key::new`] during a key rotation: a second key is accepted but not sent,
    /// so that processes can restart with the new key one by one.
    pub fn with_accepted(key: &str, accepted: Option<&str>) -> Key {
        let bearer = bearer(key);
        let digest = Digest::of(bearer.as_bytes());
        let accepted = accepted.map(|accepted| Digest::of(self::bearer(accepted).as_bytes()));
        Key { bearer, digest, accepted }
    }

    /// Returns the value of [`HEADER`] that shows the key.
    pub fn bearer(&self) -> &str {
        &self.bearer
    }

    /// Returns the hashes of the key and of the second accepted key, if any: data is
    /// sealed under the first and opened under each.
    pub fn secrets(&self) -> impl Iterator<Item = &Digest> {
        [Some(&self.digest), self.accepted.as_ref()].into_iter().flatten()
    }

    /// Returns whether a peer's [`HEADER`] shows an accepted key, compared in constant
    /// time.
    pub fn is_shown(&self, header: Option<&[u8]>) -> bool {
        let Some(shown) = header.map(Digest::of) else { return false };
        let is_second = self.accepted.as_ref().is_some_and(|accepted| shown.matches(accepted));
        shown.matches(&self.digest) | is_second
    }
}

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}
