//! The text of the engine's answers.

use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::request::Message;

/// Separator between the hashed fields.
const SEPARATOR: &[u8] = &[0];

/// Returns the tokens of the answer to a request. Each token is derived from the
/// hash of the request and the token's index, so that answers to different
/// requests differ in every token.
pub fn answer(model: &str, messages: &[Message], max_tokens: u32) -> Vec<String> {
    let mut hasher = Xxh3::new();
    hasher.update(model.as_bytes());
    hasher.update(SEPARATOR);
    hasher.update(&max_tokens.to_le_bytes());
    for message in messages {
        hasher.update(message.role.as_bytes());
        hasher.update(SEPARATOR);
        hasher.update(message.text().as_bytes());
        hasher.update(SEPARATOR);
    }
    let digest = hasher.digest128().to_le_bytes();
    (0..max_tokens).map(|index| token(&digest, index)).collect()
}

fn token(digest: &[u8], index: u32) -> String {
    let hash = xxh3_64_with_seed(digest, index.into());
    format!("{:08x} ", hash >> 32)
}
