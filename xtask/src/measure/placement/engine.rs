//! An engine of the model with its agent.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::load::ChatCache;
use policy::bound;
use policy::home::Memory;
use wire::Load;
use wire::Mean;
use wire::id;

use crate::measure::placement::work::Work;

/// An engine of the model with its agent.
pub(crate) struct Engine {
    pub(crate) name: id::Engine,
    pub(crate) cache: ChatCache,
    pub(crate) waiting: VecDeque<Work>,
    pub(crate) running: u32,
    pub(crate) slots: u32,
    /// Its load as others heard of it from its description.
    pub(crate) described: Load,
    /// Chats of this home that lie elsewhere.
    pub(crate) away: Memory,
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
            described: Load { slots, ..Load::default() },
            away: Memory::default(),
            is_lost: false,
        }
    }

    pub(crate) fn load(&self) -> Load {
        let waiting = self.waiting.len() as u32;
        Load { running: self.running, waiting, slots: self.slots, tokens: 0 }
    }

    /// Whether the gate takes one more request.
    pub(crate) fn takes(&self, multiple: f32, mean: Option<Mean>) -> bool {
        self.load().requests() < bound::limit(multiple, self.slots, mean)
    }

    /// Where a chat of this home lies, if elsewhere.
    pub(crate) fn place_of(&self, chat: id::Chat, now: Duration) -> Option<id::Engine> {
        self.away.place(chat, now).map(str::to_owned)
    }
}
