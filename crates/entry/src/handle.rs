//! Handles by which callers resume streamed answers.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;
use wire::Cost;
use wire::Digest;
use wire::Key;
use wire::id;

/// Length of the authentication tag that follows the handle, in bytes.
const TAG_BYTES: usize = 32;

/// The data that any entry needs to resume an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Handle {
    /// The service of the request.
    pub(crate) service: id::Service,
    /// The engine that generates the answer.
    pub(crate) engine: id::Engine,
    /// The engine's identifier of the answer.
    pub(crate) answer: String,
    /// The cost of the request.
    pub(crate) cost: Cost,
    /// Whether the answer has to end with the token usage.
    pub(crate) wants_usage: bool,
}

impl Handle {
    /// Returns the handle with an HMAC for the account, as text that fits into a path.
    pub(crate) fn seal(&self, key: &Key, account: &str) -> String {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        let tag = key.secrets().next().and_then(|secret| mac(secret, account, &bytes));
        if let Some(tag) = tag {
            bytes.extend_from_slice(&tag.finalize().into_bytes());
        }
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes and verifies a handle that was sealed for the account; `None` for any
    /// other text.
    pub(crate) fn open(text: &str, key: &Key, account: &str) -> Option<Handle> {
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (handle, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_BYTES)?)?;
        let is_authentic =
            |secret| mac(secret, account, handle).is_some_and(|mac| mac.verify_slice(tag).is_ok());
        if !key.secrets().any(is_authentic) {
            return None;
        }
        postcard::from_bytes(handle).ok()
    }
}

/// Returns the HMAC of a handle and its account. The account comes first with its length,
/// so that no other pair gives the same bytes.
fn mac(secret: &Digest, account: &str, handle: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_str().as_bytes()).ok()?;
    mac.update(b"lycheeknot answer");
    mac.update(&(account.len() as u64).to_le_bytes());
    mac.update(account.as_bytes());
    mac.update(handle);
    Some(mac)
}
