//! Export and import of cached prefixes.
//!
//! A body is one line of JSON that lists the blocks of the prefix, followed by
//! as many bytes as the KV cache of their tokens takes.

use std::sync::Arc;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use ntex::web::types::Path;
use ntex::web::types::State;

use crate::engine::cache::Block;
use crate::engine::cache::PrefixHash;
use crate::engine::core::Core;
use crate::json;

/// Answers with the KV cache of a prefix, or with 404 if not all of it is cached.
pub(crate) async fn export(core: State<Arc<Core>>, hash: Path<String>) -> HttpResponse {
    core.wait_while_frozen().await;
    let Some(blocks) = parse_hash(&hash).and_then(|hash| core.cached_prefix(hash)) else {
        return json::problem(StatusCode::NOT_FOUND, "the prefix isn't cached");
    };
    let mut body = serde_json::to_vec(&blocks).unwrap_or_default();
    body.push(b'\n');
    body.resize(body.len() + payload_bytes(&core, &blocks), 0);
    HttpResponse::Ok().content_type("application/octet-stream").body(body)
}

/// Adds a prefix that another engine has exported to the cache. Refuses a body
/// of the wrong length or of another prefix with 400.
pub(crate) async fn import(
    core: State<Arc<Core>>,
    hash: Path<String>,
    body: Bytes,
) -> HttpResponse {
    core.wait_while_frozen().await;
    let line_end = body.iter().position(|byte| *byte == b'\n').unwrap_or(body.len());
    let blocks: Vec<Block> = match json::parse(&body[..line_end]) {
        Ok(blocks) => blocks,
        Err(response) => return response,
    };
    let last = blocks.last().map(|block| block.hash);
    let is_whole = body.len() == line_end + 1 + payload_bytes(&core, &blocks);
    if last.is_none() || last != parse_hash(&hash) || !is_whole {
        return json::problem(StatusCode::BAD_REQUEST, "the body isn't the whole cache named");
    }
    core.import_blocks(&blocks);
    HttpResponse::NoContent().finish()
}

/// Parses a hash in hexadecimal digits.
fn parse_hash(hash: &str) -> Option<PrefixHash> {
    PrefixHash::from_str_radix(hash, 16).ok()
}

/// Returns the size of the KV cache of `blocks` in bytes.
fn payload_bytes(core: &Core, blocks: &[Block]) -> usize {
    let tokens: usize = blocks.iter().map(|block| block.tokens).sum();
    tokens * core.options.kv_bytes_per_token
}
