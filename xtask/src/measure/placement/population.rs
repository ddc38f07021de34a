//! The returning chats of the model, as those of `fleet::load`.

use fleet::load::Zipf;
use policy::placement::fingerprint;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::measure::placement::setting::Setting;
use crate::measure::placement::work::Work;

/// Chats that are drawn before all are taken to be busy.
const TRIES: usize = 8;

/// The returning chats of the model.
pub(crate) struct Population {
    zipf: Zipf,
    lines: Vec<Line>,
    opening: u64,
    growth: u64,
    turns: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Line {
    generation: u32,
    turn: u32,
    is_busy: bool,
}

impl Population {
    pub(crate) fn new(setting: &Setting) -> Population {
        Population {
            zipf: Zipf::new(setting.chats, setting.exponent),
            lines: vec![Line::default(); setting.chats],
            opening: setting.opening,
            growth: setting.growth,
            turns: setting.turns,
        }
    }

    /// The next turn of a chat that has none under way.
    pub(crate) fn next(&mut self, random: &mut Pcg64, entry: usize, second: usize) -> Option<Work> {
        let mut drawn = (0..TRIES).map(|_| self.zipf.choose(random));
        let index = drawn.find(|index| !self.lines[*index].is_busy)?;
        let line = &mut self.lines[index];
        line.is_busy = true;
        let name = format!("{index}-{}", line.generation);
        let earlier = match line.turn {
            0 => 0,
            turn => self.opening + u64::from(turn - 1) * self.growth + self.growth / 4,
        };
        let prompt = self.opening + u64::from(line.turn) * self.growth;
        Some(Work {
            line: index,
            chat: fingerprint(&name),
            name,
            earlier,
            prompt,
            after: prompt + self.growth / 4,
            entry,
            is_first: line.turn == 0,
            second,
        })
    }

    /// Takes in that a turn was answered.
    pub(crate) fn answered(&mut self, index: usize) {
        let line = &mut self.lines[index];
        line.is_busy = false;
        line.turn += 1;
        if line.turn >= self.turns {
            *line = Line { generation: line.generation + 1, ..Line::default() };
        }
    }

    /// Takes in that a turn was not answered.
    pub(crate) fn failed(&mut self, index: usize) {
        self.lines[index].is_busy = false;
    }
}

/// The time until the next request, in seconds.
pub(crate) fn pause(random: &mut Pcg64, rate: f64) -> f64 {
    -(1.0 - random.random::<f64>()).ln() / rate
}
