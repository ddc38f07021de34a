//! A request of the simulation.

use wire::id;

/// A request of the simulation: one turn of a chat.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    /// Index of the chat in the population.
    pub(crate) chat_index: usize,
    pub(crate) chat: id::Chat,
    /// Name of the chat, its key in caches.
    pub(crate) name: String,
    /// Tokens of earlier turns in the prompt.
    pub(crate) earlier: u64,
    /// Tokens of the whole prompt.
    pub(crate) prompt: u64,
    /// Tokens of prompt and answer.
    pub(crate) after: u64,
    /// Index of the entry that sends the request.
    pub(crate) entry: usize,
    pub(crate) is_first: bool,
    /// Simulated second in which the request was sent. While the work waits at an
    /// engine, its index in the run's accepted work instead.
    pub(crate) second: usize,
}
