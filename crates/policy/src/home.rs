//! The engines that hold the contexts of chats away from their home.
//!
//! Entries that spill a chat notify its home's agent, since the next entry asks
//! there; nothing is replicated. See `docs/decisions/gate.md`.

use std::time::Duration;

use wire::id;

/// Most chats in the directory of one agent.
const MAX_CHATS: usize = 32 * 1024;

/// After this time a spilled chat's context is not expected to be cached any longer.
const CHAT_TTL: Duration = Duration::from_secs(30 * 60);

/// A full directory evicts one chat in this many at once, the oldest ones, so
/// that evictions are rare.
const EVICTION_DIVISOR: usize = 8;

/// Maps the chats of one home to the other engines that hold their contexts.
///
/// Its size ([`Directory::bytes`]) is at most about half a megabyte. An entry that
/// is evicted costs a recomputed prompt, never a wrong answer.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    engines: Vec<id::Engine>,
    /// Sorted by chat.
    entries: Vec<Entry>,
}

/// The engine of one chat, in sixteen bytes.
#[derive(Debug, Clone, Copy)]
struct Entry {
    chat: id::Chat,
    /// Index into [`Directory::engines`].
    engine: u32,
    /// Seconds since the process started.
    at: u32,
}

impl Directory {
    /// Records the engine away from home that holds a chat's context.
    pub fn record(&mut self, chat: id::Chat, engine: &str, now: Duration) {
        if self.find(chat).is_err() {
            self.evict_if_full(now);
        }
        // An eviction renumbers the engines, so the index is taken after it.
        let entry = Entry { chat, engine: self.engine_index(engine), at: seconds(now) };
        match self.find(chat) {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
    }

    /// Returns the engine away from home that holds a chat's context, if one was recorded
    /// within `CHAT_TTL`.
    pub fn engine(&self, chat: id::Chat, now: Duration) -> Option<&str> {
        let entry = self.entries[self.find(chat).ok()?];
        let is_recent = seconds(now).saturating_sub(entry.at) < seconds(CHAT_TTL);
        is_recent.then(|| self.engines[entry.engine as usize].as_str())
    }

    /// Removes a chat, as its home holds its context again.
    pub fn forget(&mut self, chat: id::Chat) {
        if let Ok(index) = self.find(chat) {
            self.entries.remove(index);
        }
    }

    /// Returns the number of chats in the directory.
    pub fn chats(&self) -> usize {
        self.entries.len()
    }

    /// Returns the bytes allocated for chats and engine names.
    pub fn bytes(&self) -> usize {
        let names: usize = self.engines.iter().map(String::capacity).sum();
        names
            + self.engines.capacity() * size_of::<id::Engine>()
            + self.entries.capacity() * size_of::<Entry>()
    }

    fn find(&self, chat: id::Chat) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&chat, |entry| entry.chat)
    }

    fn engine_index(&mut self, engine: &str) -> u32 {
        let known = self.engines.iter().position(|known| known == engine);
        let index = known.unwrap_or_else(|| {
            self.engines.push(engine.to_owned());
            self.engines.len() - 1
        });
        index as u32
    }

    /// Evicts expired chats from a full directory, or the oldest ones if those are
    /// too few, and removes the names of engines that no chat refers to.
    fn evict_if_full(&mut self, now: Duration) {
        if self.entries.len() < MAX_CHATS {
            return;
        }
        let mut times: Vec<u32> = self.entries.iter().map(|entry| entry.at).collect();
        let (_, limit, _) = times.select_nth_unstable(MAX_CHATS / EVICTION_DIVISOR);
        let limit = (*limit).max(seconds(now).saturating_sub(seconds(CHAT_TTL)));
        // Many chats may have been recorded within the second of the limit.
        let mut excess = MAX_CHATS / EVICTION_DIVISOR;
        self.entries.retain(|entry| {
            let is_evicted = entry.at < limit || (entry.at == limit && excess > 0);
            excess = excess.saturating_sub(usize::from(is_evicted));
            !is_evicted
        });
        self.remove_unused_engines();
    }

    fn remove_unused_engines(&mut self) {
        let names = std::mem::take(&mut self.engines);
        let mut new_indices: Vec<Option<u32>> = vec![None; names.len()];
        for entry in &mut self.entries {
            let old = entry.engine as usize;
            entry.engine = *new_indices[old].get_or_insert_with(|| {
                self.engines.push(names[old].clone());
                self.engines.len() as u32 - 1
            });
        }
    }
}

fn seconds(time: Duration) -> u32 {
    u32::try_from(time.as_secs()).unwrap_or(u32::MAX)
}
