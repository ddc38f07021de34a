//! Quarantine of requests that crash endpoints.
//!
//! A request may crash each endpoint that begins to answer it, because of one part of its
//! prompt or as a whole. The requests that were at an endpoint when it crashed are suspects, sound
//! ones among them. A part is blamed once it was at several crashes and no request with it has
//! succeeded since; requests with it are refused then. The whole of a request counts as a part
//! that only its repetitions share, so one decision covers requests with and without a prompt.
//! Gateways tell each other what they saw, as each of them sees only some of the crashes. See
//! `docs/decisions/quarantine.md`.

mod blame;
mod broken;
mod crash;
mod digest;
mod register;
mod successes;
mod suspect;

pub use blame::Block;
pub use blame::blame;
pub use crash::Crash;
pub use digest::Digest;
pub use register::Register;
pub use successes::Successes;
pub use suspect::Suspect;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a part of a prompt, or of the content of a whole request.
pub type PartId = u64;

/// Bit that is set in the hash of a request's content, and in no hash of a part of a prompt.
/// Messages and stored quarantines have one kind of hash, so that older builds can read them.
const CONTENT_BIT: PartId = 1 << 63;

/// Hash of an endpoint and its start; an endpoint that starts again has another one.
pub type StartId = u64;

/// Returns the id of an endpoint's start, given in Unix milliseconds if it is known.
pub fn start_id(endpoint: &str, started_ms: Option<u64>) -> StartId {
    xxh3_64(endpoint.as_bytes()) ^ started_ms.unwrap_or_default().rotate_left(32)
}

/// Returns the hash by which a request is known when it comes again, under another id and at any
/// gateway: that of its host, its path with query, its client account and its body.
pub fn content_id(host: &str, target: &str, account: &str, body: &[u8]) -> PartId {
    let mut hasher = Xxh3::new();
    for field in [host.as_bytes(), target.as_bytes(), account.as_bytes(), body] {
        // The length keeps neighbouring fields apart.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest() | CONTENT_BIT
}

/// Whether this is the hash of a request's content.
pub(crate) fn is_content(part: PartId) -> bool {
    part & CONTENT_BIT != 0
}
