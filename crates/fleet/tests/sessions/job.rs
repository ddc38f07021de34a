//! A request of a load and its expected answer.

use fleet::Chat;
use rand::Rng;
use rand::RngExt;
use standins::engine::Message;

/// Number of distinct chats in a load. Each may occur with different numbers of
/// turns.
const CHAT_COUNT: u32 = 24;

/// One request of a load.
#[derive(Clone, Debug)]
pub enum Job {
    /// A chat by a client account, answered by the model of its service.
    Chat { chat: Chat, account: &'static str, model: &'static str },
    /// A booking of a round that no other job of the load books.
    Booking { round: String },
}

impl Job {
    /// Returns a random job; `name` is part of the round of a booking.
    pub fn random(name: &str, random: &mut impl Rng) -> Job {
        let messages = messages(random);
        match random.random_range(0..10) {
            0..4 => Job::Chat {
                chat: Chat::whole("classify", messages, random.random_range(4..24)),
                account: "clerks",
                model: "motion-small",
            },
            4..7 => Job::Chat {
                chat: Chat::streamed("brief", messages, random.random_range(4..24)),
                account: "adjudicators",
                model: "motion-large",
            },
            _ => Job::Booking { round: format!("round-{name}") },
        }
    }

    /// Returns whether the job is a booking.
    pub fn is_booking(&self) -> bool {
        matches!(self, Job::Booking { .. })
    }

    /// Returns the text of the only correct answer.
    pub fn expected(&self) -> String {
        match self {
            Job::Chat { chat, model, .. } => chat.expected(model),
            Job::Booking { round } => format!(r#"{{"key":"{round}","run":1}}"#),
        }
    }
}

/// Returns the first turns, chosen at random, of a chat chosen at random.
fn messages(random: &mut impl Rng) -> Vec<Message> {
    let name = random.random_range(0..CHAT_COUNT);
    let turns = random.random_range(1..4);
    let turn = |turn| Message::new("user", &format!("turn {turn} of the chat about motion {name}"));
    (0..turns).map(turn).collect()
}
