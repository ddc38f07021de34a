//! Simulated engine with its agent.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::load::ChatCache;
use policy::bound;
use policy::home::Directory;
use wire::Load;
use wire::Mean;
use wire::id;

use crate::measure::placement::work::Work;

/// Simulated engine with its agent.
pub(crate) struct Engine {
    pub(crate) name: id::Engine,
    pub(crate) cache: ChatCache,
    pub(crate) waiting: VecDeque<Work>,
    pub(crate) running: u32,
    pub(crate) slots: u32,
    /// Load of the engine in its last description, which all entries know.
    pub(crate) described_load: Load,
    /// Chats whose home is this engine and that are served elsewhere.
    pub(crate) away: Directory,
    pub(crate) is_lost: bool,
}

impl Engine {
    pub(crate) fn new(index: usize, slots: u32, cache_tokens: u64) -> Engine {
        Engine {
            name: format!("engine-{index}"),
            cache: ChatCache::new(cache_tokens),
            waiting: VecDeque::new(),
            running: 0,
            slots,
            described_load: Load { slots, ..Load::default() },
            away: Directory::default(),
            is_lost: false,
        }
    }

    /// Returns the current load.
    pub(crate) fn load(&self) -> Load {
        let waiting = self.waiting.len() as u32;
        Load { running: self.running, waiting, slots: self.slots, tokens: 0 }
    }

    /// Returns whether the gate accepts one more request: the load must be below the
    /// limit of [`bound::limit`] for this multiple of the mean load.
    pub(crate) fn accepts(&self, multiple: f32, mean: Option<Mean>) -> bool {
        self.load().requests() < bound::limit(multiple, self.slots, mean)
    }

    /// Returns the engine at which a chat of this home is served, if that is another one.
    pub(crate) fn location_of(&self, chat: id::Chat, now: Duration) -> Option<id::Engine> {
        self.away.engine(chat, now).map(str::to_owned)
    }
}
