//! Returning chats of the simulation, chosen like those of `fleet::load`.

use fleet::load::Zipf;
use policy::placement::fingerprint;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::measure::placement::setting::Setting;
use crate::measure::placement::work::Work;

/// Draws of a chat after which a request is not sent, because all were busy.
const MAX_DRAWS: usize = 8;

/// Returning chats of the simulation.
pub(crate) struct Population {
    zipf: Zipf,
    chats: Vec<State>,
    opening: u64,
    growth: u64,
    turns: u32,
}

/// State of a chat, which a new chat replaces after its last turn.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    /// Chats that were replaced at this index.
    generation: u32,
    turn: u32,
    /// Whether a turn is under way.
    is_busy: bool,
}

impl Population {
    pub(crate) fn new(setting: &Setting) -> Population {
        Population {
            zipf: Zipf::new(setting.chats, setting.exponent),
            chats: vec![State::default(); setting.chats],
            opening: setting.opening,
            growth: setting.growth,
            turns: setting.turns,
        }
    }

    /// Starts and returns the next turn of a random chat that has none under way;
    /// `None` if only busy chats were drawn.
    pub(crate) fn next(&mut self, random: &mut Pcg64, entry: usize, second: usize) -> Option<Work> {
        let mut drawn = (0..MAX_DRAWS).map(|_| self.zipf.choose(random));
        let index = drawn.find(|index| !self.chats[*index].is_busy)?;
        let chat = &mut self.chats[index];
        chat.is_busy = true;
        let name = format!("{index}-{}", chat.generation);
        let earlier = match chat.turn {
            0 => 0,
            turn => self.opening + u64::from(turn - 1) * self.growth + self.growth / 4,
        };
        let prompt = self.opening + u64::from(chat.turn) * self.growth;
        Some(Work {
            chat_index: index,
            chat: fingerprint(&name),
            name,
            earlier,
            prompt,
            after: prompt + self.growth / 4,
            entry,
            is_first: chat.turn == 0,
            second,
        })
    }

    /// Records that a turn was answered, and replaces the chat after its last turn.
    pub(crate) fn record_answer(&mut self, index: usize) {
        let chat = &mut self.chats[index];
        chat.is_busy = false;
        chat.turn += 1;
        if chat.turn >= self.turns {
            *chat = State { generation: chat.generation + 1, ..State::default() };
        }
    }

    /// Records that a turn was not answered; the chat will send it again.
    pub(crate) fn record_failure(&mut self, index: usize) {
        self.chats[index].is_busy = false;
    }
}

/// Returns a random time until the next request, in seconds, exponentially
/// distributed with a mean of 1 / `rate`.
pub(crate) fn next_interval(random: &mut Pcg64, rate: f64) -> f64 {
    -(1.0 - random.random::<f64>()).ln() / rate
}
