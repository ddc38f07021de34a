//! Hashes that stand for tokens and bodies, so that these are neither kept nor logged.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Number of hexadecimal digits of a hash.
const HEX_DIGITS: usize = 64;

/// A SHA-256 hash in lower-case hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Returns the hash of some bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        let hash = Sha256::digest(bytes);
        Digest(hash.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// Parses a hash from its lower-case hexadecimal digits; `None` if the text is no hash.
    pub fn parse(text: &str) -> Option<Digest> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        let is_hash = text.len() == HEX_DIGITS && text.bytes().all(is_digit);
        is_hash.then(|| Digest(text.to_owned()))
    }

    /// Returns whether two hashes are equal, compared in constant time for hashes of secrets.
    pub fn matches(&self, other: &Digest) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }

    /// Returns the hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
