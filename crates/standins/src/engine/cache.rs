//! The prefix cache, with a message as its smallest unit.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::event::Change;
use crate::engine::request::Message;
use crate::table::Table;

/// The hash of a model and its messages up to and including one of them.
pub(crate) type PrefixHash = u64;

/// One message of a prompt as the cache stores it.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct Block {
    pub(crate) hash: PrefixHash,
    /// Hash of the prefix that ends with the message before, if there is one.
    pub(crate) parent: Option<PrefixHash>,
    pub(crate) tokens: usize,
}

/// An LRU cache of blocks, bounded by their tokens.
#[derive(Debug)]
pub(crate) struct Cache {
    max_tokens: usize,
    used_tokens: usize,
    /// Number of uses so far, which orders the blocks by their last use.
    clock: u64,
    blocks: Table<PrefixHash, Entry>,
    by_last_use: Table<u64, PrefixHash>,
}

/// A cached block and the value of the clock at its last use.
#[derive(Debug)]
struct Entry {
    block: Block,
    last_used: u64,
}

/// Returns the blocks of a message list for one model, in order.
pub(crate) fn blocks(model: &str, messages: &[Message]) -> Vec<Block> {
    let mut hash = xxh3_64(model.as_bytes());
    let mut blocks = Vec::with_capacity(messages.len());
    let mut parent = None;
    for message in messages {
        hash = xxh3_64_with_seed(message.role.as_bytes(), hash);
        hash = xxh3_64_with_seed(message.text().as_bytes(), hash);
        blocks.push(Block { hash, parent, tokens: message.tokens() });
        parent = Some(hash);
    }
    blocks
}

impl Cache {
    /// Creates an empty cache for up to `max_tokens` tokens.
    pub(crate) fn new(max_tokens: usize) -> Self {
        Self {
            max_tokens,
            used_tokens: 0,
            clock: 0,
            blocks: Table::default(),
            by_last_use: Table::default(),
        }
    }

    /// Returns the number of tokens in the longest cached prefix of `blocks`.
    pub(crate) fn cached_tokens(&self, blocks: &[Block]) -> usize {
        let cached = blocks.iter().take_while(|block| self.blocks.value(&block.hash).is_some());
        cached.map(|block| block.tokens).sum()
    }

    /// Marks `blocks` as used, adds the missing ones and evicts the least
    /// recently used. A block is marked before its parent, so that it is evicted
    /// first: the parent can be used without it.
    pub(crate) fn store(&mut self, blocks: &[Block]) -> Change {
        let mut change = Change::default();
        for block in blocks.iter().rev() {
            if self.touch(*block) {
                change.stored.push(block.hash);
            }
        }
        while self.used_tokens > self.max_tokens {
            change.removed.extend(self.evict());
        }
        change
    }

    /// Returns the blocks from the first message up to `hash`, if all are cached.
    pub(crate) fn prefix(&self, hash: PrefixHash) -> Option<Vec<Block>> {
        let mut blocks = Vec::new();
        let mut next = Some(hash);
        while let Some(hash) = next {
            let block = self.blocks.value(&hash)?.block;
            blocks.push(block);
            next = block.parent;
        }
        blocks.reverse();
        Some(blocks)
    }

    /// Returns the fraction of the capacity that is in use, from 0 to 1.
    pub(crate) fn usage(&self) -> f64 {
        self.used_tokens as f64 / self.max_tokens.max(1) as f64
    }

    /// Marks a block as used, adding it if missing; returns true if it was.
    fn touch(&mut self, block: Block) -> bool {
        self.clock += 1;
        self.used_tokens += block.tokens;
        let old = self.blocks.insert(block.hash, Entry { block, last_used: self.clock });
        self.by_last_use.insert(self.clock, block.hash);
        let Some(old) = old else { return true };
        self.used_tokens -= old.block.tokens;
        self.by_last_use.remove(&old.last_used);
        false
    }

    /// Removes the least recently used block and returns its hash.
    fn evict(&mut self) -> Option<PrefixHash> {
        let (_, hash) = self.by_last_use.pop_first()?;
        let entry = self.blocks.remove(&hash)?;
        self.used_tokens -= entry.block.tokens;
        Some(hash)
    }
}
