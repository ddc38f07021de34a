//! A simulated cache shared by all engines.

/// A simulated LRU cache for the tokens of all chats, which evicts whole chats. No
/// placement can reuse much more with the same memory spread over engines.
#[derive(Debug, Clone)]
pub struct SharedCache {
    limit: u64,
    held: u64,
    /// The chats, least recently used first.
    chats: Vec<Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    chat: String,
    tokens: u64,
}

impl SharedCache {
    /// Creates an empty cache with a capacity of `limit` tokens.
    pub fn new(limit: u64) -> SharedCache {
        SharedCache { limit, held: 0, chats: Vec::new() }
    }

    /// Serves a turn of a chat, which repeats `earlier` tokens of earlier turns and has
    /// `after` tokens including its answer; returns the number of tokens reused.
    pub fn serve(&mut self, chat: &str, earlier: u64, after: u64) -> u64 {
        let known = self.chats.iter().position(|entry| entry.chat == chat);
        let reused = match known {
            Some(index) => self.remove(index).min(earlier),
            None => 0,
        };
        self.held += after;
        self.chats.push(Entry { chat: chat.to_owned(), tokens: after });
        while self.held > self.limit && !self.chats.is_empty() {
            self.remove(0);
        }
        reused
    }

    /// Returns the number of cached tokens of a chat.
    pub(crate) fn held_of(&self, chat: &str) -> u64 {
        let known = self.chats.iter().find(|entry| entry.chat == chat);
        known.map_or(0, |entry| entry.tokens)
    }

    fn remove(&mut self, index: usize) -> u64 {
        let tokens = self.chats.remove(index).tokens;
        self.held -= tokens;
        tokens
    }
}
