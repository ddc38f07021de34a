//! A simulated placement that knows the contents of all caches.

use std::time::Duration;

use crate::load::ChatCache;

/// Simulates a placement that knows the caches and loads of all engines, for
/// comparison with the measured reuse.
///
/// A turn goes to the engine with a free slot that caches most of its chat; between
/// equal ones, and if no slot is free, to the least loaded.
#[derive(Debug, Clone, Default)]
pub struct Simulation {
    engines: Vec<Engine>,
    slots: usize,
    loss: Option<Duration>,
}

#[derive(Debug, Clone)]
struct Engine {
    cache: ChatCache,
    running: usize,
    is_removed: bool,
}

/// The simulated placement of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Placed {
    /// Index of the engine.
    pub engine: usize,
    /// Tokens of earlier turns that are cached there.
    pub reused: u64,
}

impl Simulation {
    /// Creates idle engines with `slots` concurrent requests and `cache_tokens` tokens of cache
    /// each.
    pub fn new(engines: usize, slots: usize, cache_tokens: u64) -> Simulation {
        let engine = Engine { cache: ChatCache::new(cache_tokens), running: 0, is_removed: false };
        Simulation { engines: vec![engine; engines], slots, loss: None }
    }

    /// Removes the first engine at the time `loss` after the start.
    pub fn with_loss(self, loss: Duration) -> Simulation {
        Simulation { loss: Some(loss), ..self }
    }

    /// Places a turn of a chat, which repeats `earlier` tokens of earlier turns, at the
    /// time `now` after the start.
    pub fn place(&mut self, chat: &str, earlier: u64, now: Duration) -> Placed {
        if self.loss.take_if(|loss| now >= *loss).is_some() {
            self.remove_first();
        }
        let live = self.engines.iter().enumerate().filter(|(_, engine)| !engine.is_removed);
        let best = live.min_by_key(|(_, engine)| {
            let is_full = engine.running >= self.slots;
            let missing = if is_full { 0 } else { earlier - engine.cached(chat, earlier) };
            (is_full, missing, engine.running)
        });
        let Some((index, _)) = best else { return Placed::default() };
        let engine = &mut self.engines[index];
        engine.running += 1;
        Placed { engine: index, reused: engine.cached(chat, earlier) }
    }

    /// Ends a request; `after` is the number of tokens of its chat that are then cached, or
    /// `None` if it was not answered.
    pub fn end(&mut self, placed: Placed, chat: &str, after: Option<u64>) {
        let Some(engine) = self.engines.get_mut(placed.engine) else { return };
        engine.running = engine.running.saturating_sub(1);
        if let Some(after) = after {
            engine.cache.serve(chat, 0, after);
        }
    }

    fn remove_first(&mut self) {
        if let Some(engine) = self.engines.first_mut() {
            engine.is_removed = true;
        }
    }
}

impl Engine {
    fn cached(&self, chat: &str, earlier: u64) -> u64 {
        self.cache.tokens_of(chat).min(earlier)
    }
}
