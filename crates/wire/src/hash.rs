//! Hashes that identify chats and owners of answers.

use xxhash_rust::xxh3::Xxh3;

use crate::id;

/// Returns the id of a chat: a hash of its account, its service and the text that
/// tells it apart from others, which is the caller's key or else its leading messages.
pub fn chat(account: &str, service: &str, key: &str) -> id::Chat {
    hash(&["chat", account, service, key])
}

/// Returns the hash that marks the account which owns an answer.
pub fn owner(account: &str) -> u64 {
    hash(&["owner", account])
}

/// Hashes parts with their lengths, so that no two lists of parts run together.
fn hash(parts: &[&str]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.digest()
}
