//! Export and import of KV cache.
//!
//! A body is one line of JSON that lists the blocks of the prefix, and then
//! as many bytes as their tokens take.

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

/// Gives the cache of a prefix, if all of it is held.
pub(crate) async fn export(core: State<Arc<Core>>, hash: Path<String>) -> HttpResponse {
    core.thaw().await;
    let Some(blocks) = parse(&hash).and_then(|hash| core.prefix(hash)) else {
        return json::problem(StatusCode::NOT_FOUND, "the prefix isn't cached");
    };
    let mut body = serde_json::to_vec(&blocks).unwrap_or_default();
    body.push(b'\n');
    body.resize(body.len() + size(&core, &blocks), 0);
    HttpResponse::Ok().content_type("application/octet-stream").body(body)
}

/// Takes in a prefix that another engine has exported.
pub(crate) async fn import(
    core: State<Arc<Core>>,
    hash: Path<String>,
    body: Bytes,
) -> HttpResponse {
    core.thaw().await;
    let line = body.iter().position(|byte| *byte == b'\n').unwrap_or(body.len());
    let blocks: Vec<Block> = match json::parse(&body[..line]) {
        Ok(blocks) => blocks,
        Err(response) => return response,
    };
    let last = blocks.last().map(|block| block.hash);
    let whole = body.len() == line + 1 + size(&core, &blocks);
    if last.is_none() || last != parse(&hash) || !whole {
        return json::problem(StatusCode::BAD_REQUEST, "the body isn't the whole cache named");
    }
    core.import(&blocks);
    HttpResponse::NoContent().finish()
}

fn parse(hash: &str) -> Option<PrefixHash> {
    PrefixHash::from_str_radix(hash, 16).ok()
}

fn size(core: &Core, blocks: &[Block]) -> usize {
    let tokens: usize = blocks.iter().map(|block| block.tokens).sum();
    tokens * core.options.kv_bytes_per_token
}
