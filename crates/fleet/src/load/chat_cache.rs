//! A simulated cache of chats.

/// A simulated LRU cache for the tokens of chats, which evicts whole chats.
///
/// One cache for all chats gives an upper bound: no placement can reuse much more
/// with the same memory spread over engines.
#[derive(Debug, Clone)]
pub struct ChatCache {
    capacity: u64,
    total_tokens: u64,
    /// The chats, least recently used first.
    chats: Vec<Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    chat: String,
    tokens: u64,
}

impl ChatCache {
    /// Creates an empty cache with a capacity of `capacity` tokens.
    pub fn new(capacity: u64) -> ChatCache {
        ChatCache { capacity, total_tokens: 0, chats: Vec::new() }
    }

    /// Serves a turn of a chat, which repeats `earlier` tokens of earlier turns and has
    /// `after` tokens including its answer; returns the number of tokens reused.
    pub fn serve(&mut self, chat: &str, earlier: u64, after: u64) -> u64 {
        let known = self.chats.iter().position(|entry| entry.chat == chat);
        let reused = match known {
            Some(index) => self.remove(index).min(earlier),
            None => 0,
        };
        self.total_tokens += after;
        self.chats.push(Entry { chat: chat.to_owned(), tokens: after });
        while self.total_tokens > self.capacity && !self.chats.is_empty() {
            self.remove(0);
        }
        reused
    }

    /// Returns the number of cached tokens of a chat.
    pub(crate) fn tokens_of(&self, chat: &str) -> u64 {
        let known = self.chats.iter().find(|entry| entry.chat == chat);
        known.map_or(0, |entry| entry.tokens)
    }

    fn remove(&mut self, index: usize) -> u64 {
        let tokens = self.chats.remove(index).tokens;
        self.total_tokens -= tokens;
        tokens
    }
}
