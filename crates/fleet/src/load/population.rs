//! The chats of a class.

use rand::RngExt;
use standins::engine::Message;

use crate::Chat;
use crate::load::Class;
use crate::load::Zipf;

/// Number of random choices before all chats are assumed to be busy.
const MAX_DRAWS: usize = 8;
/// Text that the engines' stand-in counts as one token.
const TOKEN_TEXT: &str = "word";

/// The concurrent chats of a class.
#[derive(Debug)]
pub(crate) struct Population {
    class: Class,
    zipf: Zipf,
    chats: Vec<Conversation>,
}

/// A chat.
#[derive(Debug, Clone, Default)]
struct Conversation {
    /// Number of earlier chats with the same index.
    generation: u32,
    messages: Vec<Message>,
    is_busy: bool,
}

impl Population {
    pub(crate) fn new(class: &Class) -> Population {
        Population {
            zipf: Zipf::new(class.chats, class.exponent),
            chats: vec![Conversation::default(); class.chats],
            class: class.clone(),
        }
    }

    /// Starts the next turn of a random chat that has no request in flight and returns
    /// it with the chat's index; `None` if every chat that was drawn is busy.
    pub(crate) fn begin_turn<R: RngExt>(&mut self, random: &mut R) -> Option<(usize, Chat)> {
        let mut drawn = (0..MAX_DRAWS).map(|_| self.zipf.choose(random));
        let index = drawn.find(|index| self.chats.get(*index).is_some_and(|chat| !chat.is_busy))?;
        let conversation = self.chats.get_mut(index)?;
        conversation.is_busy = true;
        let is_first = conversation.messages.is_empty();
        let tokens =
            if is_first { self.class.first_message_tokens } else { self.class.message_tokens };
        let name = format!("{}-{index}-{}", self.class.name, conversation.generation);
        let text = format!("{name} {}: {}", conversation.messages.len(), TOKEN_TEXT.repeat(tokens));
        conversation.messages.push(Message::new("user", &text));
        let messages = conversation.messages.clone();
        let chat = match self.class.stream {
            true => Chat::streamed(&self.class.service, messages, self.class.output_tokens),
            false => Chat::whole(&self.class.service, messages, self.class.output_tokens),
        };
        Some((index, chat.keyed(&name)))
    }

    /// Adds the answer to the last turn; replaces the chat if it was the last one.
    pub(crate) fn complete_turn(&mut self, index: usize, text: &str) {
        let turns = self.class.turns;
        let Some(conversation) = self.chats.get_mut(index) else { return };
        conversation.is_busy = false;
        conversation.messages.push(Message::new("assistant", text));
        if conversation.messages.len() >= turns * 2 {
            *conversation =
                Conversation { generation: conversation.generation + 1, ..Conversation::default() };
        }
    }

    /// Removes the last turn, which was not answered.
    pub(crate) fn cancel_turn(&mut self, index: usize) {
        let Some(conversation) = self.chats.get_mut(index) else { return };
        conversation.is_busy = false;
        conversation.messages.pop();
    }
}
