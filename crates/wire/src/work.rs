//! The work that an attempt asks an engine to do.

use serde::Deserialize;
use serde::Serialize;

use crate::id;

/// The work of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A chat completion on a model engine.
    Chat(Chat),
    /// A call of a plain service.
    Call(Call),
}

/// A chat completion of the OpenAI chat protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chat {
    /// The model that the engine must hold.
    pub model: id::Model,
    /// Id of the chat, so that the agent can record where it was placed.
    pub chat: id::Chat,
    /// JSON body of the caller's request; the agent sets model, priority and streaming.
    pub body: String,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The pool that the engine must belong to.
    pub pool: id::Pool,
    /// The HTTP method.
    pub method: String,
    /// Path and query relative to the service's root, starting with `/`.
    pub path: String,
    /// The caller's content type, if any.
    pub content_type: Option<String>,
    /// The caller's body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Idempotency key, unique within the account; set for calls that must not run twice.
    pub key: Option<String>,
}

impl Work {
    /// Returns the model or pool that an engine must hold to do this work.
    pub fn needs(&self) -> &str {
        match self {
            Work::Chat(chat) => &chat.model,
            Work::Call(call) => &call.pool,
        }
    }

    /// Returns whether the work may safely run twice.
    pub fn is_idempotent(&self) -> bool {
        match self {
            Work::Chat(_) => true,
            Work::Call(call) => call.key.is_none(),
        }
    }
}
