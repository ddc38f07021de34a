//! Notes of chats that were placed on another engine than their home.

use serde::Deserialize;
use serde::Serialize;

use crate::Stamp;
use crate::id;

/// Path at the agent's data address that accepts notes by `POST`.
pub const PATH: &str = "/notes";

/// Chats with the same home that an entry placed elsewhere.
///
/// They are sent to the home's agent, because the next entry asks there first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notes {
    /// Stamp of the entry that sends them.
    pub stamp: Stamp,
    /// The chats and where they are.
    pub notes: Vec<Note>,
}

/// The location of one chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Id of the chat.
    pub chat: id::Chat,
    /// The engine that now has its context.
    pub engine: id::Engine,
}
