//! The engines that last served chats away from their home.

use std::time::Duration;

use wire::id;
use xxhash_rust::xxh3::xxh3_64;

/// Number of sets; entries are split over sets so that an insertion moves few of them.
const SETS: usize = 256;

/// Most chats in one set.
const SET_MAX_CHATS: usize = 256;

/// After this time a chat's context is not expected to be cached any longer.
const CONTEXT_TTL: Duration = Duration::from_secs(30 * 60);

/// A hash of an engine's or endpoint's name, which stands for it in few bytes.
pub type Fingerprint = u64;

/// Returns the fingerprint of an engine's or endpoint's name.
pub fn fingerprint(engine: &str) -> Fingerprint {
    xxh3_64(engine.as_bytes())
}

/// The engine that last served a chat away from its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Location {
    /// The engine.
    pub engine: Fingerprint,
    /// The chat's home at that time. While it still is the home, its agent knows
    /// better than an entry which engine holds the chat's context.
    pub home: Fingerprint,
}

/// A bounded table of the engines that served spilled chats; the oldest entry of
/// a full set is evicted.
///
/// Chats served at home need no entry, because their hash names the engine.
#[derive(Debug, Clone)]
pub struct Locations {
    /// Each set is sorted by chat.
    sets: Vec<Vec<Entry>>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    chat: id::Chat,
    location: Location,
    /// Seconds since the process started.
    at: u32,
}

impl Default for Locations {
    fn default() -> Locations {
        Locations { sets: vec![Vec::new(); SETS] }
    }
}

impl Locations {
    /// Records which engine serves a chat; returns whether engine or home are new.
    pub fn record(&mut self, chat: id::Chat, location: Location, now: Duration) -> bool {
        let set = self.set(chat);
        let entry = Entry { chat, location, at: seconds(now) };
        match set.binary_search_by_key(&chat, |known| known.chat) {
            Ok(index) => {
                let previous = set[index].location;
                set[index] = entry;
                previous != location
            }
            Err(_) => {
                if set.len() >= SET_MAX_CHATS {
                    remove_oldest(set);
                }
                let index = set.partition_point(|known| known.chat < chat);
                set.insert(index, entry);
                true
            }
        }
    }

    /// Removes a chat, as it is served at home again.
    pub fn forget(&mut self, chat: id::Chat) {
        let set = self.set(chat);
        if let Ok(index) = set.binary_search_by_key(&chat, |known| known.chat) {
            set.remove(index);
        }
    }

    /// Returns the engine that last served a chat, if known and recent enough for
    /// the context to be cached.
    pub fn locate(&self, chat: id::Chat, now: Duration) -> Option<Location> {
        let set = &self.sets[set_index(chat)];
        let found = set.binary_search_by_key(&chat, |known| known.chat).ok()?;
        let entry = set[found];
        (seconds(now).saturating_sub(entry.at) <= seconds(CONTEXT_TTL)).then_some(entry.location)
    }

    /// Returns the number of chats in the table.
    pub fn len(&self) -> usize {
        self.sets.iter().map(Vec::len).sum()
    }

    /// Returns whether the table has no chat.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn set(&mut self, chat: id::Chat) -> &mut Vec<Entry> {
        &mut self.sets[set_index(chat)]
    }
}

fn seconds(time: Duration) -> u32 {
    u32::try_from(time.as_secs()).unwrap_or(u32::MAX)
}

fn set_index(chat: id::Chat) -> usize {
    chat as usize % SETS
}

fn remove_oldest(set: &mut Vec<Entry>) {
    let oldest = set.iter().enumerate().min_by_key(|(_, entry)| entry.at);
    if let Some((index, _)) = oldest {
        set.remove(index);
    }
}
