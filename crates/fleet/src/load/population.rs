//! The chats of a class.

use rand::RngExt;
use standins::engine::Message;

use crate::Chat;
use crate::load::Class;
use crate::load::Zipf;

/// Number of random choices before all chats are assumed to be busy.
const TRIES: usize = 8;
/// Text that the engines' stand-in counts as one token.
const TOKEN: &str = "word";

/// The concurrent chats of a class.
#[derive(Debug)]
pub(crate) struct Population {
    class: Class,
    zipf: Zipf,
    chats: Vec<Line>,
}

/// A chat.
#[derive(Debug, Clone, Default)]
struct Line {
    /// Number of earlier chats with the same index.
    generation: u32,
    messages: Vec<Message>,
    is_busy: bool,
}

impl Population {
    pub(crate) fn new(class: &Class) -> Population {
        Population {
            zipf: Zipf::new(class.chats, class.exponent),
            chats: vec![Line::default(); class.chats],
            class: class.clone(),
        }
    }

    /// Starts the next turn of a random chat that has no request in flight and returns
    /// it with the chat's index; `None` if every chat that was drawn is busy.
    pub(crate) fn next<R: RngExt>(&mut self, random: &mut R) -> Option<(usize, Chat)> {
        let mut drawn = (0..TRIES).map(|_| self.zipf.choose(random));
        let index = drawn.find(|index| self.chats.get(*index).is_some_and(|chat| !chat.is_busy))?;
        let line = self.chats.get_mut(index)?;
        line.is_busy = true;
        let is_first = line.messages.is_empty();
        let tokens = if is_first { self.class.opening } else { self.class.turn };
        let name = format!("{}-{index}-{}", self.class.name, line.generation);
        let text = format!("{name} {}: {}", line.messages.len(), TOKEN.repeat(tokens));
        line.messages.push(Message::new("user", &text));
        let messages = line.messages.clone();
        let chat = match self.class.stream {
            true => Chat::streamed(&self.class.service, messages, self.class.output),
            false => Chat::whole(&self.class.service, messages, self.class.output),
        };
        Some((index, chat.keyed(&name)))
    }

    /// Adds the answer to the last turn; replaces the chat if it was the last one.
    pub(crate) fn answered(&mut self, index: usize, text: &str) {
        let turns = self.class.turns;
        let Some(line) = self.chats.get_mut(index) else { return };
        line.is_busy = false;
        line.messages.push(Message::new("assistant", text));
        if line.messages.len() >= turns * 2 {
            *line = Line { generation: line.generation + 1, ..Line::default() };
        }
    }

    /// Removes the last turn, which was not answered.
    pub(crate) fn failed(&mut self, index: usize) {
        let Some(line) = self.chats.get_mut(index) else { return };
        line.is_busy = false;
        line.messages.pop();
    }
}
